"""Opening of connections to upstreams."""

from tornado.iostream import IOStream, StreamClosedError

from mangohatch.core.paths import PathTable
from mangohatch.core.tables import UpstreamRow
from mangohatch.core.upstream_path import ConnectFailure
from mangohatch.errors import UpstreamUnreachable

__all__ = ["Dialer"]


class Dialer:
    """
    Opens direct connections, and records how each attempt ends.

    :param paths: receives the results
    """

    def __init__(self, *, paths: PathTable) -> None:
        self._paths = paths

    async def open(self, upstream: UpstreamRow, stream: IOStream) -> IOStream:
        """
        Open a connection.

        :param upstream: destination of the connection
        :param stream: an unconnected stream; closing it gives the attempt up
        :return: the connected stream
        :raises UpstreamUnreachable: when the upstream does not accept the connection
        """
        try:
            await stream.connect((upstream.address, upstream.port))
        except (StreamClosedError, OSError) as exc:
            failure = classify_failure(exc)
            self._paths.record_failed(upstream, failure)
            detail = f"upstream {upstream.name} accepts no connection: {failure}"
            raise UpstreamUnreachable(detail) from exc
        self._paths.record_connected(upstream)
        return stream


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
