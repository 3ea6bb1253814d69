"""One HTTP/1.1 connection of a caller."""

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
    """The connection broke, or none could be opened, before the whole reply."""


@dataclass(slots=True, kw_only=True)
class Reply:
    """A whole reply, as the framing of HTTP says."""

    status: int
    headers: HTTPHeaders
    chunks: list[bytes] = field(default_factory=list)

    @property
    def body(self) -> bytes:
        """The body in one piece."""
        return b"".join(self.chunks)


class ReplyDelegate(HTTPMessageDelegate):
    """Collects a reply."""

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
    """A connection that carries one request at a time."""

    def __init__(self, *, stream: IOStream) -> None:
        self._stream = stream
        self.reusable = False

    @classmethod
    async def open(cls, client: TCPClient, address: Address) -> "CallerConnection":
        """
        Connect to an entry host.

        :param client: makes the connection
        :param address: IP address and port
        :return: the connection
        :raises BrokenReply: when none can be opened
        """
        try:
            stream = await client.connect(*address)
        except (StreamClosedError, OSError) as exc:
            raise BrokenReply("no connection") from exc
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
        Send a request and read its whole reply.

        :param method: HTTP method
        :param path: path and query
        :param headers: header fields
        :param body: the body, None without one
        :return: the reply
        :raises BrokenReply: when the connection breaks before the end
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
            raise BrokenReply("connection closed") from exc
        if not delegate.finished or delegate.reply is None:
            raise BrokenReply("connection closed within the reply")
        self.reusable = keep_open and not self._stream.closed()
        return delegate.reply
