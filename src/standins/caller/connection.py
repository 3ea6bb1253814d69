"""HTTP/1.1 client connection of a caller."""

from dataclasses import dataclass, field

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

__all__ = ["Address", "BrokenReply", "CallerConnection", "Reply"]

Address = tuple[str, int]
MAX_BODY_BYTES = 1 << 32
CONNECTION_PARAMS = HTTP1ConnectionParameters(max_body_size=MAX_BODY_BYTES)


class BrokenReply(Exception):
    """No connection could be opened, or it closed before the reply was complete."""


@dataclass(slots=True, kw_only=True)
class Reply:
    """A reply that is complete according to its HTTP framing."""

    status: int
    headers: HTTPHeaders
    chunks: list[bytes] = field(default_factory=list)

    @property
    def body(self) -> bytes:
        """The body as one byte string."""
        return b"".join(self.chunks)


class ReplyDelegate(HTTPMessageDelegate):
    """Collects the final reply; interim 1xx responses are skipped."""

    def __init__(self) -> None:
        self.reply: Reply | None = None
        self.finished = False

    def headers_received(self, start_line, headers):
        if start_line.code >= 200:
            self.reply = Reply(status=start_line.code, headers=headers)

    def data_received(self, chunk):
        assert self.reply is not None
        self.reply.chunks.append(chunk)

    def finish(self):
        self.finished = True


class CallerConnection:
    """A connection without pipelining: one request at a time."""

    def __init__(self, *, stream: IOStream) -> None:
        self._stream = stream
        self.reusable = False

    @classmethod
    async def open(cls, client: TCPClient, address: Address) -> "CallerConnection":
        """
        Connect to an entry host.

        :param client: TCP client that opens the connection
        :param address: IP address and port
        :return: the connection
        :raises BrokenReply: when the connection cannot be opened
        """
        try:
            stream = await client.connect(*address)
        except (StreamClosedError, OSError) as exc:
            raise BrokenReply("could not connect to the entry host") from exc
        stream.set_nodelay(True)
        return cls(stream=stream)

    @property
    def closed(self) -> bool:
        """Whether the stream is closed."""
        return self._stream.closed()

    def close(self) -> None:
        """Close the stream."""
        self._stream.close()

    async def exchange(
        self, method: str, path: str, headers: HTTPHeaders, body: bytes | None
    ) -> Reply:
        """
        Send a request and read the complete reply.

        :param method: HTTP method
        :param path: path and query
        :param headers: header fields
        :param body: request body, None without one
        :return: the reply
        :raises BrokenReply: when the connection closes before the reply is complete
        """
        self.reusable = False
        conn = HTTP1Connection(self._stream, True, CONNECTION_PARAMS)
        delegate = ReplyDelegate()
        line = RequestStartLine(method, path, "HTTP/1.1")
        try:
            await conn.write_headers(line, headers, body)
            conn.finish()
            keep_open = await conn.read_response(delegate)
        except StreamClosedError as exc:
            raise BrokenReply("connection closed during the exchange") from exc
        if not delegate.finished or delegate.reply is None:
            raise BrokenReply("connection closed before the reply was complete")
        self.reusable = keep_open and not self._stream.closed()
        return delegate.reply
