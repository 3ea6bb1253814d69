"""Peer bus between virtual entry hosts."""

from collections.abc import Sequence
from typing import Any

from bench.virtual.loop import EventLoop
from bench.virtual.sites import OTHER_ZONE_MS, SAME_ZONE_MS
from mangohatch.peer.bus import Handler, MemberView, PeerBus

__all__ = ["Fleet", "VirtualBus"]


class Fleet:
    """The virtual hosts, with the message latency between their zones."""

    def __init__(self, *, loop: EventLoop) -> None:
        self.loop = loop
        self.views: dict[str, MemberView] = {}
        self.buses: dict[str, "VirtualBus"] = {}
        self.members: tuple[MemberView, ...] = ()

    def join(self, host_id: str, zone: str) -> "VirtualBus":
        """
        Add a host.

        :param host_id: id of the host
        :param zone: availability zone of the host
        :return: peer bus of the host
        """
        self.views[host_id] = MemberView(host_id=host_id, incarnation=1, zone=zone)
        self.members = tuple(self.views[name] for name in sorted(self.views))
        bus = VirtualBus(host_id=host_id, fleet=self)
        self.buses[host_id] = bus
        return bus

    def leave(self, host_id: str) -> None:
        """
        Remove a host. Messages in transit to it are lost.

        :param host_id: id of the host
        """
        del self.views[host_id], self.buses[host_id]
        self.members = tuple(self.views[name] for name in sorted(self.views))

    def latency_ms(self, first: str, second: str) -> float:
        """
        Return the one-way latency between two zones.

        :param first: availability zone of the sender
        :param second: availability zone of the receiver
        :return: latency in milliseconds
        """
        return SAME_ZONE_MS if first == second else OTHER_ZONE_MS


class VirtualBus(PeerBus):
    """Peer bus of one virtual host, with delivery through the event loop."""

    def __init__(self, *, host_id: str, fleet: Fleet) -> None:
        self._host_id = host_id
        self._fleet = fleet
        self._handlers: dict[type, Handler] = {}

    @property
    def host_id(self) -> str:
        return self._host_id

    def members(self) -> Sequence[MemberView]:
        return self._fleet.members

    def send(self, host_id: str, message: Any) -> bool:
        views = self._fleet.views
        if host_id not in views or self._host_id not in views:
            return False
        latency_ms = self._fleet.latency_ms(
            views[self._host_id].zone, views[host_id].zone
        )
        self._fleet.loop.after(latency_ms, self._deliver, host_id, message)
        return True

    def broadcast(self, message: Any) -> None:
        for host_id in list(self._fleet.views):
            if host_id != self._host_id:
                self.send(host_id, message)

    def subscribe(self, message_type: type, handler: Handler) -> None:
        self._handlers[message_type] = handler

    def _deliver(self, host_id: str, message: Any) -> None:
        bus = self._fleet.buses.get(host_id)
        if bus is None:
            return
        handler = bus._handlers.get(type(message))
        if handler is not None:
            handler(self._host_id, message)
