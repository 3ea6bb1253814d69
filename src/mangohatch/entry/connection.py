"""Strict reading of a caller's request and writing of its response."""

import re

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
)
from tornado.iostream import IOStream

from mangohatch.entry.body import RequestBody
from mangohatch.entry.head import parse_head
from mangohatch.entry.limits import CallerLimits
from mangohatch.entry.replay_memory import ReplayMemory
from mangohatch.errors import BadRequest, BodyTooLarge
from mangohatch.wire import format_head, send

__all__ = ["CallerConnection"]

HEAD_END = b"\r?\n\r?\n"
# Heads over the caller limit are read up to this size, so that they can be refused
# with an error response.
MAX_READ_HEAD_BYTES = 262_144
CHUNK_BYTES = 65_536

CONNECTION_PARAMS = HTTP1ConnectionParameters(
    chunk_size=CHUNK_BYTES,
    max_header_size=MAX_READ_HEAD_BYTES,
)
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
NO_CONTENT = 204
BODYLESS_CODES = frozenset({204, 304})
LAST_CHUNK = b"0\r\n\r\n"
LINE_END = b"\r\n"
CHUNK_LENGTH = re.compile(rb"[0-9A-Fa-f]{1,15}")
MAX_CHUNK_LINE_BYTES = 64  # same limit as in tornado
PLACEHOLDER_LINE = RequestStartLine("GET", "/", "HTTP/1.1")


class CallerConnection(HTTP1Connection):
    """Reads one request of a caller and writes its response."""

    def __init__(self, *, stream: IOStream, limits: CallerLimits | None = None) -> None:
        super().__init__(stream, False, CONNECTION_PARAMS)
        self._limits = limits or CallerLimits()
        self._max_body_size = self._limits.body_bytes
        # Error responses to heads that can't be parsed are framed as for a GET.
        self._request_start_line = PLACEHOLDER_LINE
        self._request_headers = HTTPHeaders()
        self._disconnect_on_finish = True

    @property
    def is_head_request(self) -> bool:
        """Whether the response must have no body."""
        assert self._request_start_line is not None
        return self._request_start_line.method == "HEAD"

    @property
    def read_finished(self) -> bool:
        """Whether the complete request was read."""
        return self._read_finished

    @property
    def is_persistent(self) -> bool:
        """Whether another request may follow on the connection."""
        return not self._disconnect_on_finish

    def close_after_response(self) -> None:
        """Close the connection after the response and announce it there."""
        self._disconnect_on_finish = True

    async def read_head(self) -> tuple[RequestStartLine, HTTPHeaders]:
        """
        Read and check a request head.

        :return: request line and header fields
        :raises BadRequest: when the head is refused
        :raises StreamClosedError: when the caller has disconnected
        """
        data = b""
        while not data:
            data = await self.stream.read_until_regex(HEAD_END, MAX_READ_HEAD_BYTES)
            data = data.lstrip(b"\r\n")
        line, headers = parse_head(data, max_bytes=self._limits.head_bytes)
        self._request_start_line = line
        self._request_headers = headers
        self._disconnect_on_finish = not self._can_keep_alive(
            line, headers
        ) or requests_close(headers)
        return line, headers

    def make_body(
        self, headers: HTTPHeaders, memory: ReplayMemory
    ) -> RequestBody | None:
        """
        Prepare to read the body of the request.

        :param headers: header fields of the request
        :param memory: bounds what the bodies of the host keep
        :return: the body; None when the request has none
        :raises BodyTooLarge: when its Content-Length is over the limit
        """
        if "Content-Length" in headers or "Transfer-Encoding" in headers:
            if int(headers.get("Content-Length", 0)) > self._limits.body_bytes:
                raise self._body_too_large()
            return RequestBody(memory=memory)
        self._read_finished = True
        return None

    async def read_into(self, body: RequestBody, headers: HTTPHeaders) -> None:
        """
        Read the body of the request.

        :param body: receives the chunks
        :param headers: header fields of the request
        :raises BodyTooLarge: when the body is over the limit
        :raises BadRequest: when the framing is malformed
        :raises StreamClosedError: when the caller has disconnected
        """
        if "Expect" in headers:
            self.stream.write(CONTINUE_RESPONSE)
        try:
            reading = self._read_body(0, headers, body)
            if reading is not None:
                await reading
        except HTTPInputError as exc:
            if is_body_too_large(exc):
                raise self._body_too_large() from exc
            raise BadRequest(f"the request body is malformed: {exc}") from exc
        self._read_finished = True
        body.end()

    async def _read_chunked_body(self, delegate: HTTPMessageDelegate) -> None:
        # Overridden because tornado waits for CRLF without a time limit, even if a
        # chunk line already ended with a bare line feed.
        total = 0
        while length := await self._read_chunk_length():
            total += length
            if total > self._limits.body_bytes:
                raise HTTPInputError("chunked body too large")
            while length:
                piece = await self.stream.read_bytes(
                    min(CHUNK_BYTES, length), partial=True
                )
                length -= len(piece)
                await self._deliver_body(delegate, piece)
            if await self.stream.read_bytes(len(LINE_END)) != LINE_END:
                raise HTTPInputError("a chunk does not end with its length")
        if await self._read_chunk_line():
            raise HTTPInputError("trailers are not supported")

    async def _read_chunk_length(self) -> int:
        digits = (await self._read_chunk_line()).partition(b";")[0].strip()
        if CHUNK_LENGTH.fullmatch(digits) is None:
            raise HTTPInputError("a chunk has no length")
        return int(digits, 16)

    async def _read_chunk_line(self) -> bytes:
        line = await self.stream.read_until(b"\n", max_bytes=MAX_CHUNK_LINE_BYTES)
        if not line.endswith(LINE_END):
            raise HTTPInputError("a chunk line ends without carriage return")
        return line[: -len(LINE_END)]

    def _body_too_large(self) -> BodyTooLarge:
        limit = self._limits.body_bytes
        return BodyTooLarge(f"the request body has more than {limit} bytes")

    def write_headers(self, start_line, headers, chunk=None):
        request = self._request_start_line or PLACEHOLDER_LINE
        code = start_line.code
        bodyless = request.method == "HEAD" or code in BODYLESS_CODES
        if code == NO_CONTENT:
            headers.pop("Content-Length", None)
        length = headers.get("Content-Length")
        self._expected_content_remaining = None
        if bodyless:
            self._expected_content_remaining = 0
        elif length is not None:
            self._expected_content_remaining = int(length)
        elif request.version == "HTTP/1.1":
            self._chunking_output = True
            headers["Transfer-Encoding"] = "chunked"
        else:
            self._disconnect_on_finish = True
        if self._disconnect_on_finish:
            headers["Connection"] = "close"
        elif request.version == "HTTP/1.0":
            headers["Connection"] = "keep-alive"
        data = format_head(f"HTTP/1.1 {code} {start_line.reason}", headers)
        if chunk:
            data += self._format_chunk(chunk)
        return self._send(data)

    def write(self, chunk):
        return self._send(self._format_chunk(chunk))

    def _send(self, data: bytes):
        rest = send(self.stream, data)
        if rest is not None:
            self._pending_write = rest
        return rest

    def finish(self) -> None:
        if not self._read_finished:
            self._disconnect_on_finish = True
        if self._chunking_output and not self.stream.closed():
            self._send(LAST_CHUNK)
        self._write_finished = True

    @property
    def is_truncated(self) -> bool:
        """Whether fewer bytes were written than the Content-Length announced."""
        return bool(self._expected_content_remaining)

    async def flush(self) -> None:
        """
        Wait until the whole response was written to the socket.

        :raises StreamClosedError: when the caller has disconnected
        """
        if self.stream.writing() and self._pending_write is not None:
            await self._pending_write


def requests_close(headers: HTTPHeaders) -> bool:
    """
    Return whether the caller requests that the connection be closed.

    :param headers: header fields of the request
    :return: whether ``close`` is one of the options in ``Connection``
    """
    return any(
        token.strip().lower() == "close"
        for value in headers.get_list("Connection")
        for token in value.split(",")
    )


def is_body_too_large(exc: HTTPInputError) -> bool:
    """
    Return whether a body was refused for its size and not for its framing.

    Tornado raises the same exception type for both, so the message decides.

    :param exc: raised while the body was read
    :return: whether the body is over the limit
    """
    return "too large" in str(exc)
