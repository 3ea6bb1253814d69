"""The HTTP server for callers."""

import itertools
import math
from collections.abc import Callable

import structlog
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from mangohatch.clock import Clock
from mangohatch.core.tables import Tables
from mangohatch.entry.connection_limit import ConnectionLimit
from mangohatch.entry.forwarder import Forwarder
from mangohatch.entry.limits import CallerLimits
from mangohatch.entry.replay_memory import ReplayMemory
from mangohatch.entry.session import CallerSession
from mangohatch.errors import RequestError

__all__ = ["EntryServer"]

MAX_BUFFER_BYTES = 1_048_576
SESSION_CHECK_MS = 250.0
DEFAULT_BALANCER_DELAY_MS = 3_000.0
LOG_INTERVAL_MS = 1_000.0
MAX_ACCEPTING_SHARE = 0.6  # of the time until the last responses

log = structlog.get_logger()

OnRefused = Callable[[str, str, RequestError], None]


class CallerListener(TCPServer):
    """Accepts connections for an entry server."""

    def __init__(self, *, entry: "EntryServer") -> None:
        super().__init__(max_buffer_size=MAX_BUFFER_BYTES)
        self._entry = entry

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        await self._entry.serve(stream, address[0])

    def accept_waiting(self) -> None:
        """Accept the connections that the kernel has taken, before listening ends."""
        for sock in self._sockets.values():
            while True:
                try:
                    connection, address = sock.accept()
                except OSError:
                    break  # none is left
                connection.setblocking(False)
                self._handle_connection(connection, address)


class EntryServer:
    """
    Accepts callers' connections and passes their requests to a forwarder.

    :param host_id: prefix of generated request ids
    :param clock: source of time
    :param tables: services that can be called
    :param forwarder: forwards the requests
    :param balancer_delay_ms: time in milliseconds that the load balancer needs to
        detect a leaving host
    :param limits: limits of callers' connections
    :param replay_memory: bounds what request bodies keep for another attempt
    :param connection_limit: bounds the number of connections
    :param on_refused: called with the id, the target and the error of a request that
        ends before it is passed to the forwarder
    """

    def __init__(
        self,
        *,
        host_id: str,
        clock: Clock,
        tables: Tables,
        forwarder: Forwarder,
        balancer_delay_ms: float = DEFAULT_BALANCER_DELAY_MS,
        limits: CallerLimits | None = None,
        replay_memory: ReplayMemory | None = None,
        connection_limit: ConnectionLimit[CallerSession] | None = None,
        on_refused: OnRefused | None = None,
    ) -> None:
        self.connection_limit = connection_limit or ConnectionLimit()
        self.limits = limits or CallerLimits()
        self.replay_memory = replay_memory or ReplayMemory()
        self.clock = clock
        self.forwarder = forwarder
        self.on_refused = on_refused or ignore_refusal
        self.closing = False
        self._host_id = host_id
        self.tables = tables
        self._balancer_delay_ms = balancer_delay_ms
        self._sequence = itertools.count(1)
        self._listener = CallerListener(entry=self)
        self.sessions: set[CallerSession] = set()
        self._drain_started_ms: float | None = None
        self._last_check_ms = clock.now_ms()
        self._log_due_ms = -math.inf

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this host."""
        return self._drain_started_ms is None

    @property
    def port(self) -> int:
        """The bound TCP port, also when port 0 was requested."""
        sock = next(iter(self._listener._sockets.values()))
        return sock.getsockname()[1]

    def listen(self, address: str, port: int) -> None:
        """
        Start accepting connections.

        :param address: IP address to bind
        :param port: TCP port to bind
        """
        self._listener.listen(port, address)

    async def serve(self, stream: IOStream, caller: str) -> None:
        """
        Serve a caller's connection until it closes.

        :param stream: the accepted connection
        :param caller: IP address of the caller
        """
        if not self._make_room():
            stream.close()
            return
        stream.set_nodelay(True)
        session = CallerSession(stream=stream, server=self, caller=caller)
        self.sessions.add(session)
        self.connection_limit.record_waiting(session)
        try:
            await session.run()
        finally:
            self.sessions.discard(session)
            self.connection_limit.record_busy(session)

    def _make_room(self) -> bool:
        if self.connection_limit.has_room(len(self.sessions)):
            return True
        session = self.connection_limit.take_idle()
        self._log_full()
        if session is None:
            return False
        self.sessions.discard(session)
        session.stream.close()
        return True

    def _log_full(self) -> None:
        now_ms = self.clock.now_ms()
        if now_ms < self._log_due_ms:
            return
        self._log_due_ms = now_ms + LOG_INTERVAL_MS
        limit = self.connection_limit
        log.warning(
            "connections_full",
            most=limit.most,
            evicted=limit.evicted,
            refused=limit.refused,
        )

    def idle_sessions(self) -> int:
        """
        Count the callers' connections on which no request has started.

        :return: number of connections
        """
        return sum(session.idle for session in self.sessions)

    def begin_drain(self, *, answer_by_ms: float = math.inf) -> None:
        """
        Start a drain: the host reports that it is not ready.

        New requests are accepted until the balancer delay has passed, where the time
        until the last responses is long enough for it.

        :param answer_by_ms: time on the monotonic clock in milliseconds by which each
            request is answered; infinite if the process ends only after the last one
        """
        if self._drain_started_ms is None:
            self._drain_started_ms = self.clock.now_ms()
            self.forwarder.answer_by_ms = answer_by_ms
            longest_ms = (answer_by_ms - self._drain_started_ms) * MAX_ACCEPTING_SHARE
            self._balancer_delay_ms = min(self._balancer_delay_ms, longest_ms)

    def drained(self) -> bool:
        """
        Return whether a drain has completed.

        :return: whether no new requests are accepted and no caller is connected
        """
        return self.closing and not self.sessions

    async def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        self._listener.stop()
        for session in list(self.sessions):
            session.stream.close()

    def tick(self) -> None:
        """Enforce deadlines, time out slow callers and advance a drain."""
        now_ms = self.clock.now_ms()
        self.forwarder.tick()
        if self._drain_started_ms is not None and not self.closing:
            if now_ms - self._drain_started_ms >= self._balancer_delay_ms:
                self._stop_accepting_requests()
        if now_ms - self._last_check_ms >= SESSION_CHECK_MS:
            self._last_check_ms = now_ms
            for session in list(self.sessions):
                session.check(now_ms)

    def _stop_accepting_requests(self) -> None:
        self.closing = True
        self._listener.accept_waiting()
        self._listener.stop()
        for session in list(self.sessions):
            if session.idle:
                session.stream.close()

    def next_request_id(self) -> str:
        """
        Generate a request id.

        :return: an id that is unique across hosts, provided that host ids are unique
        """
        return f"{self._host_id}-{next(self._sequence)}"


def ignore_refusal(request_id: str, target: str, error: RequestError) -> None:
    """
    Do nothing; the default of ``on_refused``.

    :param request_id: id of the request
    :param target: path and query of the request
    :param error: why it was refused
    """
