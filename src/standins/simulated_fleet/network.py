"""Carries the datagrams of a simulated fleet, with slow links and slow hosts."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from mangohatch.peer.codec import decode_envelope
from mangohatch.peer.datagram import PeerAddress
from standins.simulated_fleet.usage import Usage
from standins.virtual_loop import VirtualLoop

__all__ = ["HostLimits", "PeerNetwork", "PeerPort"]

DELAY_MIN_MS = 0.3
DELAY_MAX_MS = 1.5
STEP_MS = 0.25  # resolution of arrivals
HEADER_BYTES = 28  # of IPv4 and UDP
LINK_QUEUE_MS = 3_000.0  # datagrams of inc2 waited for seconds at the sender's link
SOCKET_BUFFER_BYTES = 212_992  # default of net.core.rmem_default
BUFFER_OVERHEAD_BYTES = 768  # kernel memory of a small datagram besides its content
BITS_PER_BYTE = 8
MS_PER_S = 1000.0
US_PER_MS = 1000.0

Receive = Callable[[bytes, PeerAddress], None]


@dataclass(slots=True, kw_only=True, frozen=True)
class HostLimits:
    """
    Processor time of a host for datagrams, and the bandwidth of its link.

    ``receive_us`` and ``send_us`` are the processor time of one datagram on a whole
    core, of which the host gets ``core_share``. The link carries ``link_mbps`` in each
    direction.
    """

    receive_us: float = 60.0
    send_us: float = 15.0
    core_share: float = 0.43
    link_mbps: float = 10.0

    @property
    def receive_ms(self) -> float:
        """Time that the host spends on a received datagram, in milliseconds."""
        return self.receive_us / US_PER_MS / self.core_share

    @property
    def send_ms(self) -> float:
        """Time that the host spends on a sent datagram, in milliseconds."""
        return self.send_us / US_PER_MS / self.core_share

    def transfer_ms(self, size: int) -> float:
        """
        Return how long the link is in use for a datagram.

        :param size: size in bytes
        :return: milliseconds
        """
        return size * BITS_PER_BYTE / (self.link_mbps * MS_PER_S)


@dataclass(slots=True, kw_only=True, frozen=True)
class Datagram:
    """A datagram on its way; ``size`` includes headers."""

    sender: PeerAddress
    data: bytes
    kind: str
    size: int


class PeerPort(asyncio.DatagramTransport):
    """
    The socket of one host.

    :param network: carries the datagrams
    :param address: address of the host
    :param receive: handles a received datagram
    :param limits: limits of the host, none if None
    """

    def __init__(
        self,
        *,
        network: "PeerNetwork",
        address: PeerAddress,
        receive: Receive,
        limits: HostLimits | None,
    ) -> None:
        super().__init__()
        self.network = network
        self.address = address
        self.limits = limits
        self.usage = Usage()
        self.busy_until_ms = 0.0
        self._receive = receive
        self._link_out_free_ms = 0.0
        self._link_in_free_ms = 0.0
        self._queue: deque[Datagram] = deque()
        self._queued_bytes = 0

    def sendto(self, data: Any, addr: Any = None) -> None:
        self.network.transmit(self, data, addr)

    def close(self) -> None:
        self.network.remove(self.address)

    def leave_link_ms(self, size: int, now_ms: float) -> float | None:
        """
        Put bytes on the outgoing link.

        :param size: size in bytes
        :param now_ms: current time in milliseconds
        :return: time in milliseconds at which they have left, None if the link is full
        """
        if self.limits is None:
            return now_ms
        start_ms = max(self._link_out_free_ms, now_ms)
        if start_ms - now_ms > LINK_QUEUE_MS:
            return None
        self._link_out_free_ms = start_ms + self.limits.transfer_ms(size)
        return self._link_out_free_ms

    def reach_host_ms(self, size: int, at_ms: float) -> float | None:
        """
        Put bytes on the incoming link.

        :param size: size in bytes
        :param at_ms: time in milliseconds at which they reach the link
        :return: time in milliseconds at which they arrive, None if the link is full
        """
        if self.limits is None:
            return at_ms
        start_ms = max(self._link_in_free_ms, at_ms)
        if start_ms - at_ms > LINK_QUEUE_MS:
            return None
        self._link_in_free_ms = start_ms + self.limits.transfer_ms(size)
        return self._link_in_free_ms

    def record_send(self, kind: str, size: int, now_ms: float) -> None:
        """
        Count a datagram that the host sends, and its processor time.

        :param kind: message kind
        :param size: size in bytes
        :param now_ms: current time in milliseconds
        """
        self.usage.sent[kind] += 1
        self.usage.sent_bytes[kind] += size
        if self.limits is not None:
            self.busy_until_ms = max(self.busy_until_ms, now_ms) + self.limits.send_ms

    def arrive(self, datagram: Datagram, now_ms: float) -> None:
        """
        Handle a datagram, or queue it while the host is busy.

        :param datagram: the datagram
        :param now_ms: current time in milliseconds
        """
        if self.limits is None or (not self._queue and self.busy_until_ms <= now_ms):
            self.busy_until_ms = now_ms
            self._handle(datagram)
            return
        size = datagram.size + BUFFER_OVERHEAD_BYTES
        if self._queued_bytes + size > SOCKET_BUFFER_BYTES:
            self.usage.dropped[datagram.kind] += 1
            return
        self._queue.append(datagram)
        self._queued_bytes += size

    def serve_queue(self, now_ms: float) -> bool:
        """
        Handle queued datagrams for which there has been processor time.

        :param now_ms: current time in milliseconds
        :return: whether datagrams remain queued
        """
        while self._queue and self.busy_until_ms <= now_ms:
            datagram = self._queue.popleft()
            self._queued_bytes -= datagram.size + BUFFER_OVERHEAD_BYTES
            self._handle(datagram)
        return bool(self._queue)

    def _handle(self, datagram: Datagram) -> None:
        self.usage.received[datagram.kind] += 1
        self.usage.received_bytes[datagram.kind] += datagram.size
        if self.limits is not None:
            self.busy_until_ms += self.limits.receive_ms
        self._receive(datagram.data, datagram.sender)


class PeerNetwork:
    """
    Delivers datagrams between the ports of a fleet.

    Each datagram takes 0.3 to 1.5 ms besides the time on slow links, and the share
    ``loss`` is lost at random. ``sides`` assigns hosts to the sides of a partition,
    between which all are lost.

    :param loop: event loop in virtual time
    :param rng: source of delays and losses
    :param loss: probability of the loss of a datagram
    """

    def __init__(
        self, *, loop: VirtualLoop, rng: random.Random, loss: float = 0.0
    ) -> None:
        self.loss = loss
        self.sides: dict[PeerAddress, int] = {}
        self._loop = loop
        self._rng = rng
        self._ports: dict[PeerAddress, PeerPort] = {}
        self._arrivals: dict[int, list[tuple[PeerPort, Datagram]]] = {}
        self._backlog: dict[PeerAddress, PeerPort] = {}
        self._step = int(loop.time() * MS_PER_S / STEP_MS)
        self._last = (b"", "")
        self._schedule()

    def add(
        self, address: PeerAddress, receive: Receive, limits: HostLimits | None = None
    ) -> PeerPort:
        """
        Open the port of a host.

        :param address: address of the host
        :param receive: handles a received datagram
        :param limits: limits of the host, none if None
        :return: the port
        """
        port = PeerPort(network=self, address=address, receive=receive, limits=limits)
        self._ports[address] = port
        return port

    def remove(self, address: PeerAddress) -> None:
        """
        Close a port; datagrams to it are lost.

        :param address: address of the host
        """
        self._ports.pop(address, None)
        self._backlog.pop(address, None)

    def transmit(self, sender: PeerPort, data: bytes, address: PeerAddress) -> None:
        """
        Send a datagram.

        :param sender: port of the sender
        :param data: content
        :param address: address of the receiver, which may not exist
        """
        if self._ports.get(sender.address) is not sender:
            return
        kind = self._kind(data)
        size = len(data) + HEADER_BYTES
        now_ms = self._loop.time() * MS_PER_S
        sender.record_send(kind, size, now_ms)
        left_ms = sender.leave_link_ms(size, now_ms)
        if left_ms is None:
            sender.usage.dropped[kind] += 1
            return
        receiver = self._ports.get(address)
        if self.sides and self.sides.get(sender.address) != self.sides.get(address):
            return
        if receiver is None or self._rng.random() < self.loss:
            return
        delay_ms = DELAY_MIN_MS + (DELAY_MAX_MS - DELAY_MIN_MS) * self._rng.random()
        due_ms = receiver.reach_host_ms(size, left_ms + delay_ms)
        if due_ms is None:
            receiver.usage.dropped[kind] += 1
            return
        step = max(int(due_ms / STEP_MS) + 1, self._step)
        datagram = Datagram(sender=sender.address, data=data, kind=kind, size=size)
        self._arrivals.setdefault(step, []).append((receiver, datagram))

    def _kind(self, data: bytes) -> str:
        # The same bytes go to many receivers.
        if data is not self._last[0]:
            self._last = (data, decode_envelope(data).kind)
        return self._last[1]

    def _schedule(self) -> None:
        self._step += 1
        self._loop.call_at(self._step * STEP_MS / MS_PER_S, self._deliver)

    def _deliver(self) -> None:
        now_ms = self._step * STEP_MS
        for address, port in list(self._backlog.items()):
            if not port.serve_queue(now_ms):
                self._backlog.pop(address, None)
        for port, datagram in self._arrivals.pop(self._step, ()):
            if self._ports.get(port.address) is port:
                port.arrive(datagram, now_ms)
                if port.busy_until_ms > now_ms:
                    self._backlog[port.address] = port
        self._schedule()
