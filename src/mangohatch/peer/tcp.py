"""The peer bus over TCP."""

import asyncio
import random
import socket
from collections.abc import Iterable, Sequence
from typing import Any

import structlog
from tornado.netutil import bind_sockets

from mangohatch.clock import Clock
from mangohatch.peer.bus import Handler, MemberView, PeerBus
from mangohatch.peer.codec import encode
from mangohatch.peer.counters import PeerCounters
from mangohatch.peer.frames import make_frame
from mangohatch.peer.inbox import Inbox
from mangohatch.peer.link import Link, LinkSettings
from mangohatch.peer.listener import PeerListener
from mangohatch.peer.membership import (
    Endpoint,
    Membership,
    MembershipSettings,
    MemberTransport,
)
from mangohatch.peer.messages.membership import (
    Ack,
    MemberDigest,
    MemberSync,
    Nack,
    Ping,
    PingRequest,
)
from mangohatch.timeline.event import EventKind
from mangohatch.timeline.recorder import Recorder

__all__ = ["TcpPeerBus"]

MEMBERSHIP_MESSAGES = (Ack, MemberDigest, MemberSync, Nack, Ping, PingRequest)
TICK_S = 0.1
STALL_MS = 400.0
LISTENER_IDLE_FACTOR = 2
LEAVE_DELAY_S = 0.1

log = structlog.get_logger()


class TcpPeerBus(PeerBus, MemberTransport):
    """
    Messages over one TCP connection to each peer, to the members found by gossip.

    :param host_id: id of this host
    :param zone: availability zone of this host
    :param endpoint: where this host listens for peers
    :param admin_port: where this host answers operators; 0 for nowhere
    :param seeds: peer addresses asked at start
    :param sockets: sockets already bound to the endpoint
    """

    def __init__(
        self,
        *,
        host_id: str,
        zone: str,
        endpoint: Endpoint,
        admin_port: int,
        seeds: Iterable[Endpoint],
        clock: Clock,
        rng: random.Random,
        recorder: Recorder,
        membership: MembershipSettings | None = None,
        links: LinkSettings | None = None,
        sockets: Sequence[socket.socket] | None = None,
    ) -> None:
        self._host_id = host_id
        self._endpoint = endpoint
        self._clock = clock
        self._rng = rng
        self._recorder = recorder
        self._link_cfg = links or LinkSettings()
        self._sockets = sockets
        self._links: dict[Endpoint, Link] = {}
        self._views: Sequence[MemberView] | None = None
        self._task: asyncio.Task[None] | None = None
        self._last_tick_ms = clock.now_ms()
        self.counters = PeerCounters()
        self.membership = Membership(
            host_id=host_id,
            zone=zone,
            endpoint=endpoint,
            admin_port=admin_port,
            seeds=seeds,
            clock=clock,
            rng=rng,
            transport=self,
            recorder=recorder,
            cfg=membership,
            on_change=self.on_change,
        )
        self._inbox = Inbox(
            membership=self.membership, clock=recorder.clock, counters=self.counters
        )
        for message_type in MEMBERSHIP_MESSAGES:
            self._inbox.subscribe(message_type, self.membership.receive)
        self._listener = PeerListener(
            clock=clock, counters=self.counters, on_frame=self._inbox.handle_frame
        )

    @property
    def host_id(self) -> str:
        return self._host_id

    @property
    def joined(self) -> bool:
        """
        Tell whether another member has answered, or there is none to ask.

        :return: False while the seeds are silent
        """
        return self.membership.joined

    @property
    def replaced(self) -> bool:
        """
        Tell whether a newer host runs under the id of this one.

        :return: True when this host has to stop serving
        """
        return self.membership.replaced

    def members(self) -> Sequence[MemberView]:
        if self._views is None:
            self._views = self.membership.views()
        return self._views

    def send(self, host_id: str, message: Any) -> bool:
        if host_id == self._host_id:
            asyncio.get_running_loop().call_soon(self._inbox.dispatch, host_id, message)
            return True
        row = self.membership.table.rows.get(host_id)
        if row is None or not row.live or self.membership.replaced:
            return False
        self.send_to(row.endpoint, message)
        return True

    def broadcast(self, message: Any) -> None:
        if self.membership.replaced:
            return
        frame = self.make_frame(message)
        for row in self.membership.table.live():
            self.send_frame(row.endpoint, type(message).__name__, frame)

    def subscribe(self, message_type: type, handler: Handler) -> None:
        self._inbox.subscribe(message_type, handler)

    def send_to(self, endpoint: Endpoint, message: Any) -> None:
        self.send_frame(endpoint, type(message).__name__, self.make_frame(message))

    def add_seeds(self, seeds: Iterable[Endpoint]) -> None:
        """
        Add addresses through which the fleet can be reached.

        :param seeds: peer addresses, for example from the platform's host objects
        """
        self.membership.add_seeds(seeds)

    async def start(self) -> None:
        """
        Listen for peers and join the fleet; does not wait for the seeds.

        :raises OSError: when the address cannot be listened on
        """
        sockets = self._sockets or bind_sockets(
            self._endpoint.port, self._endpoint.address, family=socket.AF_INET
        )
        self._listener.add_sockets(sockets)
        self._last_tick_ms = self._clock.now_ms()
        self._task = asyncio.ensure_future(self.run())

    async def leave(self) -> None:
        """Announce that this host takes no new work and will leave."""
        self.membership.set_leaving()

    async def stop(self) -> None:
        """Announce that this host is gone and close all links."""
        if self._task is not None:
            self._task.cancel()
            self.membership.set_left()
            await asyncio.sleep(LEAVE_DELAY_S)
        for link in self._links.values():
            link.close()
        self._links.clear()
        self._listener.close()

    async def run(self) -> None:
        """Run the systems of membership and links each tick."""
        while True:
            try:
                self.tick()
            except Exception:
                log.exception("peer_tick_failed")
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Run the systems once."""
        now_ms = self._clock.now_ms()
        stalled = now_ms - self._last_tick_ms > STALL_MS
        self._last_tick_ms = now_ms
        self.membership.tick()
        for endpoint, link in list(self._links.items()):
            if link.tick(now_ms, stalled=stalled):
                cause = f"peer {endpoint.address}:{endpoint.port} gave no sign of life"
                self._recorder.record(EventKind.CONNECTION_SILENT, cause=cause)
            if link.closed:
                del self._links[endpoint]
        if not stalled:
            idle_ms = self._link_cfg.idle_ms * LISTENER_IDLE_FACTOR
            self._listener.close_idle(now_ms, idle_ms)

    def make_frame(self, message: Any) -> bytes:
        """
        Encode a message for sending now.

        :param message: an instance of a class of :mod:`mangohatch.peer.messages`
        :return: the frame
        :raises PeerProtocolError: when it cannot be encoded
        """
        time_ms, count = self._recorder.clock.tick()
        data = encode(
            message,
            sender=self._host_id,
            incarnation=self.membership.own.incarnation,
            time_ms=time_ms,
            count=count,
        )
        return make_frame(data)

    def send_frame(self, endpoint: Endpoint, kind: str, frame: bytes) -> None:
        """
        Send a frame over the link to an address.

        :param endpoint: where the peer listens
        :param kind: kind of message, for the counters
        :param frame: the frame
        """
        link = self._links.get(endpoint)
        if link is None:
            link = self.make_link(endpoint)
            self._links[endpoint] = link
        link.send(frame)
        self.counters.record_sent(kind, len(frame))

    def make_link(self, endpoint: Endpoint) -> Link:
        """
        Make the link to an address.

        :param endpoint: where the peer listens
        :return: the link, not yet connected
        """
        return Link(
            endpoint=endpoint,
            cfg=self._link_cfg,
            clock=self._clock,
            rng=self._rng,
            counters=self.counters,
            on_broken=lambda cause: self.on_broken(endpoint),
        )

    def on_broken(self, endpoint: Endpoint) -> None:
        """
        Probe the member behind a broken link next.

        :param endpoint: where the link led
        """
        for row in self.membership.table.live():
            if row.endpoint == endpoint:
                self.membership.on_link_broken(row.host_id)

    def on_change(self) -> None:
        """Forget the list of members made from the table."""
        self._views = None
