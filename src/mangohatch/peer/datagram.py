"""Peer bus over UDP datagrams."""

import asyncio
import random
from collections.abc import Iterable, Sequence
from typing import Any

import structlog

from mangohatch.clock import Clock
from mangohatch.errors import PeerProtocolError
from mangohatch.peer.bus import Handler, MemberView, PeerBus
from mangohatch.peer.codec import Envelope, decode_envelope, encode
from mangohatch.peer.counters import PeerCounters
from mangohatch.peer.datagram_settings import DATAGRAM_MEMBERSHIP
from mangohatch.peer.inbox import Inbox
from mangohatch.peer.member_parts import split_sync
from mangohatch.peer.member_views import MemberViews
from mangohatch.peer.membership import (
    Endpoint,
    Membership,
    MembershipSettings,
    MemberTransport,
)
from mangohatch.peer.messages.membership import MEMBERSHIP_MESSAGES, MemberSync
from mangohatch.peer.unreadable import UnreadableMessages
from mangohatch.timeline.recorder import HybridClock, Recorder

__all__ = ["DatagramPeerBus", "PeerAddress"]

MEMBER_EVENTS = 1_000
MAX_DATAGRAM_BYTES = 60_000

PeerAddress = tuple[str, int]

log = structlog.get_logger()


class DatagramPeerBus(PeerBus, MemberTransport):
    """
    Sends each message as one datagram to members found by gossip.

    Membership probes one random member a period and piggybacks its news, so the
    messages, bytes and processor time it takes on a host do not grow with the fleet.
    Hosts learn of a change at different times, so an action that a host bases on its
    own list must be harmless when the lists of hosts differ.

    :param host_id: id of this host
    :param zone: availability zone of this host
    :param address: address on which this host listens, as its peers reach it
    :param seeds: addresses through which this host joins the fleet
    :param clock: source of time
    :param hybrid: clock for the timestamps of messages, which order the timeline
    :param rng: source of random choices in membership
    :param membership: settings of the membership protocol
    """

    def __init__(
        self,
        *,
        host_id: str,
        zone: str,
        address: PeerAddress,
        seeds: Iterable[PeerAddress],
        clock: Clock,
        hybrid: HybridClock,
        rng: random.Random,
        membership: MembershipSettings = DATAGRAM_MEMBERSHIP,
    ) -> None:
        self.sent = 0
        self.received = 0
        self.counters = PeerCounters()
        self._host_id = host_id
        self._address = address
        self._hybrid = hybrid
        self._transport: asyncio.DatagramTransport | None = None
        self._replaced_logged = False
        self._views = MemberViews()
        self.membership = Membership(
            host_id=host_id,
            zone=zone,
            endpoint=Endpoint(*address),
            admin_port=0,
            seeds=make_endpoints(seeds),
            clock=clock,
            rng=rng,
            transport=self,
            recorder=Recorder(
                host=host_id, zone=zone, clock=hybrid, capacity=MEMBER_EVENTS
            ),
            cfg=membership,
            on_member=self._views.update,
        )
        self._views.set_own(self.membership.own)
        self._inbox = Inbox(
            membership=self.membership,
            clock=hybrid,
            counters=self.counters,
            unreadable=UnreadableMessages(clock=clock, counters=self.counters),
        )
        for message_type in MEMBERSHIP_MESSAGES:
            self._inbox.subscribe(message_type, self.membership.receive)

    @property
    def host_id(self) -> str:
        return self._host_id

    @property
    def failed(self) -> int:
        """
        Return the number of messages that were malformed or whose handling failed.

        :return: failures since the start
        """
        return self.counters.dropped["malformed"] + self.counters.handler_failures

    def members(self) -> Sequence[MemberView]:
        return self._views.all()

    def set_seeds(self, seeds: Iterable[PeerAddress]) -> None:
        """
        Replace the seeds.

        :param seeds: addresses of hosts; the address of this host is ignored
        """
        self.membership.set_seeds(make_endpoints(seeds))

    def set_leaving(self) -> None:
        """Announce that this host accepts no new work and will leave."""
        self.membership.set_leaving()
        self._views.set_own(self.membership.own)

    async def start(self) -> None:
        """Bind the socket; the next :meth:`tick` contacts the seeds."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(bus=self), local_addr=self._address
        )

    def attach(self, transport: asyncio.DatagramTransport) -> None:
        """
        Set the transport that sends datagrams.

        :param transport: transport of the bound socket
        """
        self._transport = transport

    def stop(self) -> None:
        """Announce that this host has left, and close the socket."""
        if self._transport is not None:
            self.membership.set_left()
            self._transport.close()
            self._transport = None

    def send(self, host_id: str, message: Any) -> bool:
        address = self.address_of(host_id)
        if address is None:
            return False
        self._send([address], message)
        return True

    def multicast(self, host_ids: Iterable[str], message: Any) -> None:
        found = [self.address_of(host_id) for host_id in host_ids]
        self._send([item for item in found if item is not None], message)

    def broadcast(self, message: Any) -> None:
        self.multicast(self.membership.table.rows, message)

    def subscribe(self, message_type: type, handler: Handler) -> None:
        self._inbox.subscribe(message_type, handler)

    def send_to(self, endpoint: Endpoint, message: Any) -> None:
        address = (endpoint.address, endpoint.port)
        if isinstance(message, MemberSync):
            for part in split_sync(message):
                self._send([address], part)
        else:
            self._send([address], message)

    def tick(self) -> None:
        """Run membership once."""
        self.membership.tick()
        if self.membership.replaced and not self._replaced_logged:
            self._replaced_logged = True
            log.error("peer_replaced", host=self._host_id)

    def handle_datagram(self, data: bytes, address: PeerAddress) -> None:
        """
        Decode a datagram and call the handlers of its message.

        :param data: content of the datagram
        :param address: address of the sender
        """
        self.received += 1
        self._inbox.handle_frame(data, peer=address[0])

    @property
    def address(self) -> PeerAddress:
        """The address of this host for its peers."""
        return self._address

    def address_of(self, host_id: str) -> PeerAddress | None:
        """
        Look up the address of a peer.

        :param host_id: id of the peer
        :return: its address and port, None unless it is considered live
        """
        row = self.membership.table.rows.get(host_id)
        if row is None or not row.live or self.membership.replaced:
            return None
        return row.endpoint.address, row.endpoint.port

    def encode(self, message: Any) -> bytes:
        """
        Encode a message of this host.

        :param message: an instance of a class of :mod:`mangohatch.peer.messages`
        :return: the encoded envelope
        """
        time_ms, count = self._hybrid.tick()
        return encode(
            message,
            sender=self._host_id,
            incarnation=self.membership.own.incarnation,
            time_ms=time_ms,
            count=count,
        )

    def decode_from_member(self, data: bytes, address: str) -> Envelope:
        """
        Decode an envelope that came over a connection of its own.

        :param data: the encoded envelope
        :param address: IP address of the sender
        :return: the envelope
        :raises PeerProtocolError: if its sender is not a live member at that address
        """
        envelope = decode_envelope(data)
        row = self.membership.table.rows.get(envelope.sender)
        if row is None or not row.live or row.endpoint.address != address:
            raise PeerProtocolError(
                f"sender {envelope.sender!r} at {address} is not a live member"
            )
        if envelope.incarnation < row.incarnation:
            raise PeerProtocolError(
                f"sender {envelope.sender!r} was replaced: incarnation"
                f" {envelope.incarnation}, expected {row.incarnation} or newer"
            )
        return envelope

    def _send(self, addresses: Sequence[PeerAddress], message: Any) -> None:
        if self._transport is None or not addresses:
            return
        data = self.encode(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            raise PeerProtocolError(
                f"message of {len(data)} bytes exceeds the datagram limit"
            )
        self.sent += len(addresses)
        for address in addresses:
            self._transport.sendto(data, address)


class DatagramReceiver(asyncio.DatagramProtocol):
    """Passes received datagrams to a bus."""

    def __init__(self, *, bus: DatagramPeerBus) -> None:
        self._bus = bus

    def connection_made(self, transport: Any) -> None:
        self._bus.attach(transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        self._bus.handle_datagram(data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        # Nothing listens on the port of the peer, for example while it restarts.
        log.debug("peer_unreachable", cause=str(exc))


def make_endpoints(addresses: Iterable[PeerAddress]) -> list[Endpoint]:
    """
    Convert addresses from settings.

    :param addresses: IP addresses and ports
    :return: the endpoints
    """
    return [Endpoint(*address) for address in addresses]
