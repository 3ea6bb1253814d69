"""Peer bus over TCP."""

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
from mangohatch.peer.messages.membership import MEMBERSHIP_MESSAGES
from mangohatch.peer.unreadable import UnreadableMessages
from mangohatch.timeline.event import EventKind
from mangohatch.timeline.recorder import Recorder

__all__ = ["TcpPeerBus"]

TICK_S = 0.1
STALL_MS = 400.0
LISTENER_IDLE_FACTOR = 2
LEAVE_DELAY_S = 0.1

log = structlog.get_logger()


class TcpPeerBus(PeerBus, MemberTransport):
    """
    Sends messages over one TCP connection to each member found by gossip.

    :param host_id: id of this host
    :param zone: availability zone of this host
    :param endpoint: address on which this host listens for peers
    :param admin_port: port of the operator API; 0 if there is none
    :param seeds: peer addresses through which this host joins the fleet
    :param clock: source of time
    :param rng: source of the jitter, and of random choices in membership
    :param recorder: records events; its clock stamps messages
    :param membership: settings of the membership protocol; None for the defaults
    :param links: settings of outgoing connections; None for the defaults
    :param sockets: sockets already bound to the endpoint; None to bind them at start
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
            membership=self.membership,
            clock=recorder.clock,
            counters=self.counters,
            unreadable=UnreadableMessages(clock=clock, counters=self.counters),
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
        Return whether another member has answered or there are no seeds to contact.

        :return: False while there are seeds but no other member has answered
        """
        return self.membership.joined

    @property
    def replaced(self) -> bool:
        """
        Return whether a newer host runs under the id of this host.

        :return: True if this host has to stop serving
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
        Add addresses through which this host can join the fleet.

        :param seeds: peer addresses, for example from the host objects of the platform
        """
        self.membership.add_seeds(seeds)

    async def start(self) -> None:
        """
        Listen for peers and start to join the fleet, without waiting for the seeds.

        :raises OSError: if the address cannot be bound
        """
        sockets = self._sockets or bind_sockets(
            self._endpoint.port, self._endpoint.address, family=socket.AF_INET
        )
        self._listener.add_sockets(sockets)
        self._last_tick_ms = self._clock.now_ms()
        self._task = asyncio.ensure_future(self.run())

    async def leave(self) -> None:
        """Announce that this host accepts no new work and will leave."""
        self.membership.set_leaving()

    async def stop(self) -> None:
        """Announce that this host has left and close all links."""
        if self._task is not None:
            self._task.cancel()
            self.membership.set_left()
            await asyncio.sleep(LEAVE_DELAY_S)
        for link in self._links.values():
            link.close()
        self._links.clear()
        self._listener.close()

    async def run(self) -> None:
        """Run :meth:`tick` periodically until cancelled."""
        while True:
            try:
                self.tick()
            except Exception:
                log.exception("peer_tick_failed")
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Run membership once, and check links for silent or idle connections."""
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
        Encode a message with the current reading of the hybrid clock.

        :param message: an instance of a class of :mod:`mangohatch.peer.messages`
        :return: the frame
        :raises PeerProtocolError: if the message cannot be encoded or is too large
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
        Send a frame over the link to an address, which is created if needed.

        :param endpoint: address on which the peer listens
        :param kind: message kind, for the counters
        :param frame: a complete frame
        """
        link = self._links.get(endpoint)
        if link is None:
            link = self.make_link(endpoint)
            self._links[endpoint] = link
        link.send(frame)
        self.counters.record_sent(kind, len(frame))

    def make_link(self, endpoint: Endpoint) -> Link:
        """
        Make a link to an address.

        :param endpoint: address on which the peer listens
        :return: a link that is not connected yet
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
        Notify membership of a failed link, so that it probes the member next.

        :param endpoint: remote address of the link
        """
        for row in self.membership.table.live():
            if row.endpoint == endpoint:
                self.membership.on_link_broken(row.host_id)

    def on_change(self) -> None:
        """Discard the cached list of members after a change of the table."""
        self._views = None
