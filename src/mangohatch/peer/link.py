"""Outgoing connection to one peer, reconnected as needed."""

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
    Timeouts and limits of links, in milliseconds and bytes.

    :param connect_timeout_ms: maximum time to establish a connection
    :param backoff_min_ms: delay after the first failed attempt to connect
    :param backoff_max_ms: maximum delay between attempts to connect
    :param heartbeat_ms: time between heartbeats while messages are sent
    :param silent_ms: maximum time until the echo of a heartbeat arrives; after it the
        connection is closed as silent
    :param idle_ms: time without sent messages after which a link is closed
    :param backlog_bytes: maximum size of the frames queued while the connection
        cannot accept them; the oldest frames are dropped beyond it
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
    Best-effort delivery of frames to one address.

    :param endpoint: address on which the peer listens
    :param cfg: timeouts and limits
    :param clock: source of time
    :param rng: source of the jitter
    :param counters: counters of heartbeats and dropped messages
    :param on_broken: called with the name of the error when the connection fails
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
        Send a frame, or queue it until the connection can accept it.

        :param frame: a complete frame
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
        :param frame: a complete frame
        """
        try:
            fut = stream.write(frame)
        except StreamClosedError:
            return
        if not fut.done():
            fut.add_done_callback(self.on_writable)

    def on_writable(self, fut: asyncio.Future[None]) -> None:
        """
        Continue with the backlog when a write has completed.

        :param fut: future of the completed write
        """
        if not fut.cancelled() and fut.exception() is None:
            self.flush()

    def flush(self) -> None:
        """Write the backlog until the connection accepts no more frames."""
        stream = self._stream
        while stream is not None and self._backlog and not stream.writing():
            frame = self._backlog.popleft()
            self._backlog_bytes -= len(frame)
            self.write(stream, frame)

    def connect(self) -> None:
        """Start to connect, unless an attempt is in progress or backoff delays it."""
        if self._closed or self._task is not None:
            return
        if self._clock.now_ms() < self._next_attempt_ms:
            return
        self._task = asyncio.ensure_future(self.run())

    async def run(self) -> None:
        """Connect, then read echoes of heartbeats until the connection ends."""
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
        Start to use a new connection and send a first heartbeat.

        :param stream: the open connection
        """
        self._stream = stream
        self.send_heartbeat(stream)
        self.flush()

    def on_failure(self, cause: str) -> None:
        """
        Drop the backlog and delay the next attempt to connect.

        Frames in the backlog are dropped because they are stale by now.

        :param cause: class name of the exception
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
        Send a heartbeat, which the peer has to echo.

        :param stream: the open connection
        """
        self._awaiting_echo = True
        self._last_heartbeat_ms = self._clock.now_ms()
        self._counters.record_sent(HEARTBEAT_KIND, len(HEARTBEAT))
        self.write(stream, HEARTBEAT)

    def tick(self, now_ms: float, *, stalled: bool) -> bool:
        """
        Send a heartbeat if it is due, and close a silent or idle connection.

        :param now_ms: monotonic time in milliseconds
        :param stalled: whether this process was paused since the last tick; the
            timeout of an outstanding heartbeat then starts again
        :return: whether the connection was closed as silent
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
        Return whether the link was closed permanently.

        :return: True after :meth:`close`
        """
        return self._closed

    def close(self) -> None:
        """Close the link permanently."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()
        if self._stream is not None:
            self._stream.close()
