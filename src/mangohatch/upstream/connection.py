"""One HTTP/1.1 connection to an upstream."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
)
from tornado.iostream import StreamClosedError

from mangohatch.clock import Clock
from mangohatch.core.tables import UpstreamRow
from mangohatch.errors import ResponseUnframed, UpstreamAborted, UpstreamUnreachable
from mangohatch.upstream.body_end import BodyEnd
from mangohatch.upstream.dialer import Dialer, open_stream
from mangohatch.upstream.response import (
    DiscardingSink,
    ResponseHead,
    ResponseSink,
    check_interim,
    is_framed,
)
from mangohatch.wire import (
    FIRST_FINAL_CODE,
    format_head,
    parse_fields,
    parse_status_line,
    send,
)

__all__ = ["UpstreamConnection"]

HEAD_END = b"\r?\n\r?\n"
# Matches as soon as the first bytes can't begin a status line, so that they are given
# up before the end of a head that may never come.
NO_STATUS_LINE = (
    rb"\A[\r\n]*(?:[^H\r\n]|H[^T]|HT[^T]|HTT[^P]|HTTP[^/]|HTTP/[^1]|HTTP/1[^.])"
)
HEAD_END_OR_GARBAGE = HEAD_END + b"|" + NO_STATUS_LINE
MAX_HEADER_BYTES = 65_536
CHUNK_BYTES = 65_536
MAX_BODY_BYTES = 1 << 40
MAX_DISCARDED_BYTES = 1_048_576  # reading more costs more than a new connection
MAX_INTERIM_RESPONSES = 10
# Requests with these methods always have a body, which may be empty.
BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
NOT_MODIFIED = 304

CONNECTION_PARAMS = HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES,
    max_header_size=MAX_HEADER_BYTES,
    max_body_size=MAX_BODY_BYTES,
)


class SinkDelegate(HTTPMessageDelegate):
    """Adapts a sink to tornado's delegate interface."""

    __slots__ = ("_conn", "_sink")

    def __init__(self, *, conn: "UpstreamConnection", sink: ResponseSink) -> None:
        self._conn = conn
        self._sink = sink

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._conn.record_activity()
        return self._sink.write(chunk)


class UpstreamConnection(HTTP1Connection):
    """
    A connection that carries one request at a time.

    Tornado frames and parses the messages. This class controls the sequence of steps,
    so that a response head can be checked before its body is read. ``relay`` is the
    peer that the connection passes, empty if it is direct.

    :param upstream: the upstream
    :param clock: source of time
    :param dialer: opens the connection
    """

    def __init__(self, *, upstream: UpstreamRow, clock: Clock, dialer: Dialer) -> None:
        super().__init__(open_stream(), True, CONNECTION_PARAMS)
        self.upstream = upstream
        self.connected = False
        self.relay = ""
        self.exchanges = 0
        self.sent_ms = 0.0
        self.last_read_ms = clock.now_ms()
        self._clock = clock
        self._dialer = dialer
        self._relay_open = False
        self._given_up = False
        self._connecting: asyncio.Future[None] | None = None
        self._must_close = False

    @property
    def closed(self) -> bool:
        """Whether the stream is closed."""
        return self.stream.closed()

    def close(self) -> None:
        """
        Close the stream, so that a late response on it reaches no other request.

        An attempt to connect ends, wherever it waits.
        """
        self._given_up = True
        self.stream.close()
        if self._connecting is not None and not self._connecting.done():
            self._connecting.set_result(None)
        if self._relay_open:
            self._relay_open = False
            self._dialer.record_closed(self.relay)

    def record_activity(self) -> None:
        """Record that data has arrived from the upstream."""
        self.last_read_ms = self._clock.now_ms()
        if not self.relay:
            self._dialer.paths.record_heard(self.upstream)

    def is_clean(self) -> bool:
        """
        Check that nothing arrived while the connection was idle.

        :return: whether the connection is open and has no unread input
        """
        if self.stream.closed() or self.stream._read_buffer_size:
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def connect(self) -> None:
        """
        Open the connection.

        :raises UpstreamUnreachable: when the upstream does not accept it
        """
        if not self._given_up:
            self._connecting = asyncio.get_running_loop().create_future()
            opened = await self._dialer.open(
                self.upstream, self.stream, given_up=self._connecting
            )
            self.stream = opened.stream
            self.relay = opened.relay
            self._relay_open = bool(opened.relay)
        if self._given_up:
            self.close()
            raise UpstreamUnreachable(f"upstream {self.upstream.name}: given up")
        self.connected = True
        self.record_activity()

    def send_head(
        self, line: RequestStartLine, headers: HTTPHeaders, chunk: bytes | None
    ) -> None:
        """
        Send a request head and the first chunk of its body in one segment.

        :param line: request line
        :param headers: header fields to send
        :param chunk: first or only chunk of the body; None for none
        """
        self.exchanges += 1
        self.sent_ms = self._clock.now_ms()
        self._request_start_line = line
        self._chunking_output = (
            "Content-Length" not in headers and line.method in BODY_METHODS
        )
        self._expected_content_remaining = None
        if self._chunking_output:
            headers["Transfer-Encoding"] = "chunked"
        data = format_head(f"{line.method} {line.path} HTTP/1.1", headers)
        if chunk:
            data += self._format_chunk(chunk)
        if not self.stream.closed():
            send(self.stream, data)

    async def send_rest(self, body: AsyncIterator[bytes]) -> None:
        """
        Send the rest of a body.

        :param body: chunks in order
        :raises StreamClosedError: when the connection breaks
        """
        async for chunk in body:
            await self.stream.write(self._format_chunk(chunk))
        if self._chunking_output:
            await self.stream.write(b"0\r\n\r\n")

    async def read_head(self) -> ResponseHead:
        """
        Read the head of the final response; interim responses are discarded.

        :return: the head
        :raises UpstreamAborted: when the connection breaks, or a head is malformed or
            not that of a response to a request
        """
        for _ in range(MAX_INTERIM_RESPONSES):
            head = await self._read_one_head()
            if head.line.code >= FIRST_FINAL_CODE:
                return head
            check_interim(head)
        raise UpstreamAborted("the upstream sent no final response")

    async def _read_one_head(self) -> ResponseHead:
        try:
            data = await self.stream.read_until_regex(
                HEAD_END_OR_GARBAGE, MAX_HEADER_BYTES
            )
            first, *fields = data.decode("latin1").strip("\r\n").split("\r\n")
            line = parse_status_line(first)
            headers = parse_fields(fields)
        except StreamClosedError as exc:
            raise UpstreamAborted("connection broke before the response") from exc
        except HTTPInputError as exc:
            raise UpstreamAborted("the response head is malformed") from exc
        self.record_activity()
        connection = headers.get("Connection", "").lower()
        self._must_close = "close" in connection or (
            line.version == "HTTP/1.0" and "keep-alive" not in connection
        )
        return ResponseHead(line=line, headers=headers)

    async def discard_body(
        self, head: ResponseHead, *, max_bytes: int = MAX_DISCARDED_BYTES
    ) -> bool:
        """
        Read the body of a response and discard it.

        :param head: head of a response whose content is not needed
        :param max_bytes: size from which the connection is given up, in bytes
        :return: whether the connection can carry another request
        :raises UpstreamAborted: when the connection breaks before the end, or the body
            is longer
        """
        self.set_max_body_size(max_bytes)
        try:
            return await self.read_body(head, DiscardingSink())
        finally:
            self.set_max_body_size(MAX_BODY_BYTES)

    async def read_body(
        self, head: ResponseHead, sink: ResponseSink, *, until_close: bool = False
    ) -> bool:
        """
        Stream a response into a sink.

        :param head: head returned by :meth:`read_head`
        :param sink: receives head and body
        :param until_close: accept a response without length, delimited by an orderly
            close of the connection
        :return: whether the connection can carry another request
        :raises UpstreamAborted: when the connection breaks before the end
        :raises ResponseUnframed: when the response has no framing by which a truncation
            could be detected
        """
        reading = None
        framed = True
        try:
            if self._has_body(head.line.code):
                framed = is_framed(head)
                if not framed and not until_close:
                    raise ResponseUnframed("the response has neither length nor chunks")
                self._must_close = self._must_close or not framed
                delegate = SinkDelegate(conn=self, sink=sink)
                reading = self._read_body(head.line.code, head.headers, delegate)
        except HTTPInputError as exc:
            raise UpstreamAborted("the response is malformed") from exc
        body_pending = reading is not None and not self.stream._read_buffer_size
        sink.start(head, body_pending=body_pending)
        end = BodyEnd.LENGTH
        if reading is not None:
            end = await self._find_end(reading, head, framed=framed)
        sink.finish(end)
        if not end.is_whole:
            raise UpstreamAborted(f"the response is not whole: {end.value}")
        return not self._must_close and not self.stream.closed()

    async def _find_end(
        self, reading: Awaitable[None], head: ResponseHead, *, framed: bool
    ) -> BodyEnd:
        try:
            await reading
        except StreamClosedError:
            return BodyEnd.GIVEN_UP if self._given_up else BodyEnd.BROKEN
        except HTTPInputError:
            return BodyEnd.MALFORMED
        if framed:
            is_chunked = "Transfer-Encoding" in head.headers
            return BodyEnd.LAST_CHUNK if is_chunked else BodyEnd.LENGTH
        # Tornado takes any end of the connection for the end of such a body.
        if self._given_up:
            return BodyEnd.GIVEN_UP
        return BodyEnd.CLOSED if self.stream.error is None else BodyEnd.BROKEN

    def _has_body(self, code: int) -> bool:
        assert self._request_start_line is not None
        return self._request_start_line.method != "HEAD" and code != NOT_MODIFIED
