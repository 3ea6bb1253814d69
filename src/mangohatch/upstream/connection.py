"""One HTTP/1.1 connection to an upstream."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from mangohatch.clock import Clock
from mangohatch.errors import UpstreamAborted

__all__ = ["ResponseSink", "UpstreamConnection"]

MAX_HEADER_BYTES = 65_536
CHUNK_BYTES = 65_536
MAX_BODY_BYTES = 1 << 40

PARAMS = HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES,
    max_header_size=MAX_HEADER_BYTES,
    max_body_size=MAX_BODY_BYTES,
)


class ResponseSink(ABC):
    """Receives a response as it arrives; each method applies back-pressure."""

    @abstractmethod
    async def start(self, line: ResponseStartLine, headers: HTTPHeaders) -> None:
        """
        Take the response head.

        :param line: status line
        :param headers: header fields as sent by the upstream
        """

    @abstractmethod
    async def write(self, chunk: bytes) -> None:
        """
        Take a piece of the body.

        :param chunk: bytes in order
        """


class ResponseDelegate(HTTPMessageDelegate):
    """Adapts a sink to the delegate interface of tornado."""

    def __init__(self, *, sink: ResponseSink) -> None:
        self._sink = sink
        self.started = False
        self.finished = False

    def headers_received(self, start_line, headers):
        if start_line.code < 200:
            return None
        self.started = True
        return self._sink.start(start_line, headers)

    def data_received(self, chunk):
        return self._sink.write(chunk)

    def finish(self):
        self.finished = True


class UpstreamConnection:
    """A connection that carries one request at a time."""

    def __init__(self, *, stream: IOStream, clock: Clock) -> None:
        self._stream = stream
        self._clock = clock
        self.last_read_ms = clock.now_ms()

    @property
    def closed(self) -> bool:
        """Whether the stream is closed."""
        return self._stream.closed()

    def close(self) -> None:
        """Close the stream; a late answer on it can reach nobody."""
        self._stream.close()

    async def exchange(
        self,
        line: RequestStartLine,
        headers: HTTPHeaders,
        body: AsyncIterator[bytes] | None,
        sink: ResponseSink,
    ) -> bool:
        """
        Send a request and stream its response into the sink.

        :param line: request line
        :param headers: header fields to send
        :param body: pieces of the body, None without one
        :param sink: receives the response
        :return: whether the connection can carry another request
        :raises UpstreamAborted: when the connection breaks before the whole response
        """
        conn = HTTP1Connection(self._stream, True, PARAMS)
        delegate = ResponseDelegate(sink=sink)
        try:
            await conn.write_headers(line, headers)
            if body is not None:
                async for chunk in body:
                    await conn.write(chunk)
            conn.finish()
            open_after = await conn.read_response(delegate)
        except StreamClosedError as exc:
            raise UpstreamAborted("connection broke before the response") from exc
        if not delegate.finished:
            raise UpstreamAborted("connection broke within the response")
        self.last_read_ms = self._clock.now_ms()
        return open_after and not self._stream.closed()
