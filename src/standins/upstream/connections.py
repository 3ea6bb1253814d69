"""An HTTP server that can limit, silence and close its connections."""

from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

__all__ = ["ConnectionServer", "SilentStream"]

DEFAULT_CONNECTION_LIMIT = 200


class SilentStream(IOStream):
    """
    A stream that can simulate a half-open connection.

    While ``silent`` is set, received bytes are discarded and written bytes are
    reported as sent without being sent.
    """

    silent = False

    def read_from_fd(self, buf):
        count = super().read_from_fd(buf)
        if self.silent and count:
            return None
        return count

    def write_to_fd(self, data):
        if self.silent:
            return len(data)
        return super().write_to_fd(data)


class ConnectionServer(HTTPServer):
    """An HTTP server with a connection limit, which closes connections above it."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        super().initialize(*args, **kwargs)
        self.streams: set[SilentStream] = set()
        self.refused = 0
        self.limit: Callable[[], int] = lambda: DEFAULT_CONNECTION_LIMIT

    def _handle_connection(self, connection, address):
        if len(self.streams) >= self.limit():
            self.refused += 1
            connection.close()
            return
        stream = SilentStream(connection)
        stream.set_nodelay(True)
        self.streams.add(stream)
        self.handle_stream(stream, address)

    def on_close(self, server_conn):
        super().on_close(server_conn)
        self.streams.discard(server_conn.stream)

    def silence(self, keep: IOStream | None = None) -> int:
        """
        Silence all open connections; connections opened later are not affected.

        :param keep: stream that is not silenced, if any
        :return: number of connections silenced
        """
        chosen = [stream for stream in self.streams if stream is not keep]
        for stream in chosen:
            stream.silent = True
        return len(chosen)

    def close_all(self) -> None:
        """Close all connections without waiting for their requests."""
        for stream in tuple(self.streams):
            stream.close()
        self.streams.clear()
