"""Opening of connections to upstreams."""

import asyncio
import socket
from dataclasses import dataclass
from enum import Enum, auto

from tornado.iostream import IOStream, StreamClosedError

from mangohatch.core.paths import PathTable
from mangohatch.core.tables import UpstreamRow
from mangohatch.core.upstream_path import ConnectFailure
from mangohatch.errors import UpstreamUnreachable

__all__ = ["Dialer", "OpenedStream", "Reuse", "open_stream"]

MAX_BUFFER_BYTES = 1_048_576


@dataclass(slots=True, kw_only=True, frozen=True)
class OpenedStream:
    """A connected stream; ``relay`` is the peer that it passes, empty for none."""

    stream: IOStream
    relay: str = ""


class Reuse(Enum):
    """What to do with an idle connection."""

    USE = auto()
    KEEP = auto()
    CLOSE = auto()


class Dialer:
    """
    Opens direct connections, and records how each attempt ends.

    :param paths: receives the results
    """

    def __init__(self, *, paths: PathTable) -> None:
        self.paths = paths

    async def open(
        self,
        upstream: UpstreamRow,
        stream: IOStream,
        *,
        given_up: asyncio.Future[None] | None = None,
    ) -> OpenedStream:
        """
        Open a connection.

        :param upstream: destination of the connection
        :param stream: an unconnected stream
        :param given_up: done when the attempt is given up, after ``stream`` was closed;
            a dialer that waits for anything besides ``stream`` has to wait for it too
        :return: the connected stream, which may be another one
        :raises UpstreamUnreachable: when the upstream does not accept the connection
        """
        await self._open_directly(upstream, stream)
        return OpenedStream(stream=stream)

    @property
    def has_relays(self) -> bool:
        """Whether connections through peers are open."""
        return False

    def judge(self, upstream: UpstreamRow, last_read_ms: float, relay: str) -> Reuse:
        """
        Decide about an idle connection.

        :param upstream: its upstream
        :param last_read_ms: when something arrived on it last, monotonic milliseconds
        :param relay: id of the peer that it passes, empty for none
        :return: whether to use it now, to keep it for later, or to close it
        """
        return Reuse.USE

    def relay_zone(self, relay: str) -> str:
        """
        Return the availability zone of a peer that connections pass.

        :param relay: id of the peer
        :return: name of the zone, empty if it is not known
        """
        return ""

    def record_closed(self, relay: str) -> None:
        """
        Record the end of a connection.

        :param relay: id of the peer that it passed, empty for none
        """

    async def _open_directly(self, upstream: UpstreamRow, stream: IOStream) -> None:
        try:
            await stream.connect((upstream.address, upstream.port))
        except (StreamClosedError, OSError) as exc:
            failure = classify_failure(exc)
            self.paths.record_failed(upstream, failure)
            detail = f"upstream {upstream.name} accepts no connection: {failure}"
            raise UpstreamUnreachable(detail) from exc
        self.paths.record_connected(upstream)


def open_stream(stream_type: type[IOStream] = IOStream) -> IOStream:
    """
    Create a stream for a connection to an upstream or a peer.

    :param stream_type: class of the stream
    :return: a stream that is not connected
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return stream_type(sock, max_buffer_size=MAX_BUFFER_BYTES)


def classify_failure(exc: Exception) -> ConnectFailure:
    """
    Return how a connection failed.

    :param exc: raised by the attempt; without a cause if this host gave it up
    :return: the way in which it failed
    """
    error = exc.real_error if isinstance(exc, StreamClosedError) else exc
    if isinstance(error, ConnectionRefusedError):
        return ConnectFailure.REFUSED
    if error is None or isinstance(error, TimeoutError):
        return ConnectFailure.TIMED_OUT
    return ConnectFailure.RESET
