"""An outgoing connection to one peer, reopened as needed."""

import asyncio
import random
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamClosedError

from mangohatch.clock import Clock
from mangohatch.peer.counters import HEARTBEAT_KIND, PeerCounters
from mangohatch.peer.frames import HEARTBEAT
from mangohatch.peer.membership.table import Endpoint

__all__ = ["Link", "LinkSettings"]

READ_BYTES = 4096
MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True, frozen=True)
class LinkSettings:
    """
    Periods and bounds of links.

    :param connect_timeout_ms: wait for a connection
    :param backoff_min_ms: wait after the first failed attempt to connect
    :param backoff_max_ms: longest wait between attempts
    :param heartbeat_ms: time between heartbeats while messages are sent
    :param silent_ms: wait for the echo of a heartbeat before the link is reopened
    :param idle_ms: an unused link is closed after this time
    :param backlog_bytes: messages held while the link cannot take them
    """

    connect_timeout_ms: float = 1000.0
    backoff_min_ms: float = 50.0
    backoff_max_ms: float = 2000.0
    heartbeat_ms: float = 500.0
    silent_ms: float = 1000.0
    idle_ms: float = 30_000.0
    backlog_bytes: int = 8 * 1024 * 1024


class Link:
    """
    Best-effort frames to one address.

    :param endpoint: where the peer listens
    :param on_broken: called with the cause when the link fails
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        cfg: LinkSettings,
        clock: Clock,
        rng: random.Random,
        counters: PeerCounters,
        on_broken: Callable[[str], None],
    ) -> None:
        self._endpoint = endpoint
        self._cfg = cfg
        self._clock = clock
        self._rng = rng
        self._counters = counters
        self._on_broken = on_broken
        self._stream: IOStream | None = None
        self._task: asyncio.Task[None] | None = None
        self._backlog: deque[bytes] = deque()
        self._backlog_bytes = 0
        self._failures = 0
        self._next_attempt_ms = 0.0
        self._last_sent_ms = clock.now_ms()
        self._last_heartbeat_ms = 0.0
        self._awaiting_echo = False
        self._closed = False

    def send(self, frame: bytes) -> None:
        """
        Send a frame now, or hold it until the link can take it.

        :param frame: a whole frame
        """
        self._last_sent_ms = self._clock.now_ms()
        stream = self._stream
        if stream is not None and not self._backlog and not stream.writing():
            self.write(stream, frame)
            return
        self._backlog.append(frame)
        self._backlog_bytes += len(frame)
        while self._backlog_bytes > self._cfg.backlog_bytes:
            self._backlog_bytes -= len(self._backlog.popleft())
            self._counters.dropped["backlog"] += 1
        if stream is None:
            self.connect()

    def write(self, stream: IOStream, frame: bytes) -> None:
        """
        Write to an open connection without waiting.

        :param stream: the open connection
        :param frame: a whole frame
        """
        try:
            fut = stream.write(frame)
        except StreamClosedError:
            return
        if not fut.done():
            fut.add_done_callback(self.on_writable)

    def on_writable(self, fut: asyncio.Future[None]) -> None:
        """
        Go on with the backlog when a write has ended.

        :param fut: the write that ended
        """
        if not fut.cancelled() and fut.exception() is None:
            self.flush()

    def flush(self) -> None:
        """Write the backlog as far as the connection takes it."""
        stream = self._stream
        while stream is not None and self._backlog and not stream.writing():
            frame = self._backlog.popleft()
            self._backlog_bytes -= len(frame)
            self.write(stream, frame)

    def connect(self) -> None:
        """Start to connect, unless that is under way or too early."""
        if self._closed or self._task is not None:
            return
        if self._clock.now_ms() < self._next_attempt_ms:
            return
        self._task = asyncio.ensure_future(self.run())

    async def run(self) -> None:
        """Connect, then read echoes until the connection ends."""
        stream = IOStream(socket.socket(socket.AF_INET))
        try:
            stream.set_nodelay(True)
            await asyncio.wait_for(
                stream.connect((self._endpoint.address, self._endpoint.port)),
                self._cfg.connect_timeout_ms / MS_PER_S,
            )
            self.on_connected(stream)
            while True:
                echo = await stream.read_bytes(READ_BYTES, partial=True)
                self._counters.record_received(HEARTBEAT_KIND, len(echo))
                self._awaiting_echo = False
                self._failures = 0
        except (StreamClosedError, TimeoutError, OSError) as exc:
            self.on_failure(type(exc).__name__)
        finally:
            stream.close()
            self._stream = None
            self._task = None

    def on_connected(self, stream: IOStream) -> None:
        """
        Take a new connection into use and ask for a first sign of life.

        :param stream: the open connection
        """
        self._stream = stream
        self.send_heartbeat(stream)
        self.flush()

    def on_failure(self, cause: str) -> None:
        """
        Drop what waits, which is stale by now, and delay the next attempt.

        :param cause: name of the failure
        """
        if self._closed:
            return
        self._counters.dropped["unreachable"] += len(self._backlog)
        self._backlog.clear()
        self._backlog_bytes = 0
        backoff_ms = self._cfg.backoff_min_ms * 2 ** min(self._failures, 10)
        backoff_ms = min(backoff_ms, self._cfg.backoff_max_ms)
        self._next_attempt_ms = self._clock.now_ms() + backoff_ms * self._rng.uniform(
            0.5, 1.0
        )
        self._failures += 1
        self._on_broken(cause)

    def send_heartbeat(self, stream: IOStream) -> None:
        """
        Send a heartbeat, which the peer echoes.

        :param stream: the open connection
        """
        self._awaiting_echo = True
        self._last_heartbeat_ms = self._clock.now_ms()
        self._counters.record_sent(HEARTBEAT_KIND, len(HEARTBEAT))
        self.write(stream, HEARTBEAT)

    def tick(self, now_ms: float, *, stalled: bool) -> bool:
        """
        Send a heartbeat when it is due; close a silent or an unused link.

        :param now_ms: monotonic time
        :param stalled: whether this process was paused since the last tick
        :return: whether the link found its connection silent
        """
        stream = self._stream
        if stream is None:
            if self._backlog:
                self.connect()
            return False
        if stalled:
            self._last_heartbeat_ms = now_ms
        if (
            self._awaiting_echo
            and now_ms - self._last_heartbeat_ms >= self._cfg.silent_ms
        ):
            stream.close()
            return True
        if now_ms - self._last_sent_ms >= self._cfg.idle_ms:
            self.close()
        elif (
            not self._awaiting_echo
            and self._last_sent_ms > self._last_heartbeat_ms
            and now_ms - self._last_heartbeat_ms >= self._cfg.heartbeat_ms
        ):
            self.send_heartbeat(stream)
        return False

    @property
    def closed(self) -> bool:
        """
        Tell whether the link was closed for good.

        :return: True after :meth:`close`
        """
        return self._closed

    def close(self) -> None:
        """Close the link for good."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()
        if self._stream is not None:
            self._stream.close()
