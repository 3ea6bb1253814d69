"""An in-memory peer bus that delays, loses, duplicates and partitions messages."""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from mangohatch.peer.bus import Handler, MemberView, PeerBus
from standins.virtual_loop import VirtualLoop

__all__ = ["MemoryBus", "MemoryNetwork", "NetworkFaults"]

DELAY_MIN_MS = 0.3
DELAY_MAX_MS = 1.5
DETECTION_MS = 2000.0
MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True)
class NetworkFaults:
    """
    Faults of all links.

    ``loss`` and ``duplicates`` are probabilities per message. Each message is delayed
    by a random time of up to ``extra_delay_ms`` in addition, which reorders messages.
    """

    loss: float = 0.0
    duplicates: float = 0.0
    extra_delay_ms: float = 0.0


class MemoryNetwork:
    """
    Connects the buses of all hosts of a test.

    Hosts in different groups cannot reach each other. An unreachable host remains a
    member for ``DETECTION_MS``, which simulates the delay of a failure detector.
    """

    def __init__(self, *, loop: VirtualLoop, rng: random.Random) -> None:
        self.faults = NetworkFaults()
        self.observers: list[Callable[[str, Any], None]] = []
        self.sent: Counter[str] = Counter()
        self.sent_by_host: Counter[str] = Counter()
        self._loop = loop
        self._rng = rng
        self._buses: dict[str, MemoryBus] = {}
        self._groups: dict[str, int] = {}
        self._unreachable_since_ms: dict[tuple[str, str], float] = {}

    def join(self, host_id: str, *, zone: str = "zone-a") -> "MemoryBus":
        """
        Connect a host.

        :param host_id: id that no other connected host uses
        :param zone: availability zone of the host
        :return: the bus of the host
        """
        view = MemberView(host_id=host_id, incarnation=1, zone=zone)
        bus = MemoryBus(network=self, view=view)
        self._buses[host_id] = bus
        return bus

    def leave(self, host_id: str) -> None:
        """
        Disconnect a host that has announced that it leaves.

        :param host_id: id of the host
        """
        self._buses.pop(host_id, None)

    def partition(self, groups: dict[str, int]) -> None:
        """
        Set the group of each host; hosts without an entry are in group 0.

        :param groups: group by host id; empty to end the partition
        """
        self._groups = dict(groups)

    def reachable(self, sender: str, receiver: str) -> bool:
        """
        Return whether a message can be delivered between two hosts now.

        :param sender: id of the sending host
        :param receiver: id of the receiving host
        :return: whether the receiver is connected, runs and is in the same group
        """
        if receiver not in self._buses or self._loop.is_stopped(receiver):
            return False
        return self._groups.get(sender, 0) == self._groups.get(receiver, 0)

    def members(self, observer: str) -> Sequence[MemberView]:
        """
        List the members that a host considers alive.

        :param observer: id of the host
        :return: members in the order of host ids
        """
        now_ms = self._loop.time() * MS_PER_S
        views = []
        for host_id in sorted(self._buses):
            link = (observer, host_id)
            if host_id == observer or self.reachable(observer, host_id):
                self._unreachable_since_ms.pop(link, None)
            elif (
                now_ms - self._unreachable_since_ms.setdefault(link, now_ms)
                > DETECTION_MS
            ):
                continue
            views.append(self._buses[host_id].view)
        return views

    def transmit(self, sender: str, receiver: str, message: Any) -> None:
        """
        Schedule the delivery of a message, unless the message is lost.

        :param sender: id of the sending host
        :param receiver: id of the receiving host
        :param message: the message
        """
        self.sent[type(message).__name__] += 1
        self.sent_by_host[sender] += 1
        for observe in self.observers:
            observe(sender, message)
        if self._rng.random() < self.faults.loss:
            return
        copies = 2 if self._rng.random() < self.faults.duplicates else 1
        for _ in range(copies):
            delay_ms = self._rng.uniform(DELAY_MIN_MS, DELAY_MAX_MS)
            delay_ms += self._rng.uniform(0.0, self.faults.extra_delay_ms)
            self._loop.call_later(
                delay_ms / MS_PER_S,
                self._deliver,
                sender,
                receiver,
                message,
                context=self._loop.context(receiver),
            )

    def _deliver(self, sender: str, receiver: str, message: Any) -> None:
        bus = self._buses.get(receiver)
        if bus is None or self._groups.get(sender, 0) != self._groups.get(receiver, 0):
            return
        bus.receive(sender, message)


class MemoryBus(PeerBus):
    """The bus of one host."""

    def __init__(self, *, network: MemoryNetwork, view: MemberView) -> None:
        self.view = view
        self._network = network
        self._handlers: dict[type, list[Handler]] = {}

    @property
    def host_id(self) -> str:
        return self.view.host_id

    def members(self) -> Sequence[MemberView]:
        return self._network.members(self.host_id)

    def send(self, host_id: str, message: Any) -> bool:
        known = any(member.host_id == host_id for member in self.members())
        if known:
            self._network.transmit(self.host_id, host_id, message)
        return known

    def broadcast(self, message: Any) -> None:
        for member in self.members():
            if member.host_id != self.host_id:
                self._network.transmit(self.host_id, member.host_id, message)

    def subscribe(self, message_type: type, handler: Handler) -> None:
        self._handlers.setdefault(message_type, []).append(handler)

    def receive(self, sender: str, message: Any) -> None:
        """
        Pass a message to the handlers of its type.

        :param sender: id of the sending host
        :param message: the message
        """
        for handler in self._handlers.get(type(message), []):
            handler(sender, message)
