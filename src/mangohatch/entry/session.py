"""A caller's connection from accept to close."""

import asyncio
import socket
from collections.abc import Awaitable
from enum import Enum, auto
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError

from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.body import REPLAY_BYTES, RequestBody
from mangohatch.entry.connection import CallerConnection
from mangohatch.entry.error_response import write_error
from mangohatch.entry.sink import CallerSink, reset_connection
from mangohatch.entry.unread import drop_unread, has_left_unread, has_unread_input
from mangohatch.errors import BadRequest, CallerGone, RequestError, RequestTimeout

if TYPE_CHECKING:
    from mangohatch.entry.server import EntryServer

__all__ = ["CallerSession", "Phase"]

BODY_TIMEOUT_MS = 10_000.0
WRITE_TIMEOUT_MS = 60_000.0
LINGER_MS = 1_000.0


class Phase(Enum):
    """What the entry host is waiting for on a caller's connection."""

    HEAD = auto()
    BODY = auto()
    RESPONSE = auto()
    LINGER = auto()


class CallerSession:
    """Serves the requests on a caller's connection sequentially."""

    def __init__(self, *, stream: IOStream, server: "EntryServer", caller: str) -> None:
        self._caller = caller
        self.phase = Phase.HEAD
        self.stream = stream
        self._server = server
        self._protocol = server.forwarder.protocol
        self._conn = self._make_connection()
        self._req: ActiveRequest | None = None
        self._sink: CallerSink | None = None
        self._reader: asyncio.Task[None] | None = None
        self._last_progress_ms = server.clock.now_ms()
        self._progress_bytes = 0

    @property
    def idle(self) -> bool:
        """Whether no request has started, not even one that was not read yet."""
        if self.phase is not Phase.HEAD or self.stream._read_buffer_size:
            return False
        return not has_unread_input(self.stream)

    @property
    def received_bytes(self) -> int:
        """Number of bytes read from the body of the current request."""
        if self._req is None or self._req.body is None:
            return 0
        return self._req.body.received_bytes

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            while await self._serve_one():
                self._enter(Phase.HEAD)
                self._conn = self._make_connection()
            await self._linger()
        except StreamClosedError:
            pass
        finally:
            self.stream.close()
            drop_unread(self.stream)

    def _make_connection(self) -> CallerConnection:
        return CallerConnection(stream=self.stream, limits=self._server.limits)

    def check(self, now_ms: float) -> None:
        """
        Time out a caller that makes no progress, and notice one that has left.

        :param now_ms: current time in milliseconds
        """
        if self._req is not None and has_left_unread(self.stream):
            self.stream.close()
            return
        waited_ms = now_ms - self._last_progress_ms
        if self.phase is Phase.HEAD:
            self._check_head(waited_ms)
        elif self.phase is Phase.BODY:
            self._check_body_progress(now_ms)
        elif self.phase is Phase.RESPONSE:
            self._check_write_progress(now_ms)
        elif waited_ms > LINGER_MS:
            self.stream.close()

    def _check_head(self, waited_ms: float) -> None:
        limits = self._server.limits
        shortest_ms = min(limits.idle_timeout_ms, limits.head_timeout_ms)
        if waited_ms <= shortest_ms and not self._server.closing:
            return
        idle = self.idle
        limit_ms = limits.idle_timeout_ms if idle else limits.head_timeout_ms
        if waited_ms > limit_ms:
            self._refuse_slow_head()
        elif idle and self._server.closing:
            self.stream.close()

    def _refuse_slow_head(self) -> None:
        if not self.idle:
            error = RequestTimeout("the request head did not arrive in time")
            self._send_error(error, self._server.next_request_id())
        self.stream.close()

    def _check_body_progress(self, now_ms: float) -> None:
        received = self.received_bytes
        waits_for_caller = self.stream.reading()
        if received != self._progress_bytes or not waits_for_caller:
            self._progress_bytes = received
            self._last_progress_ms = now_ms
        if self._req is None:
            return
        stalled = now_ms - self._last_progress_ms > BODY_TIMEOUT_MS
        if stalled or self._is_too_late(self._req, now_ms):
            self._refuse_slow_body(self._req)

    def _is_too_late(self, req: ActiveRequest, now_ms: float) -> bool:
        """Return whether a request that was not forwarded yet can't be any more."""
        forwarder = self._server.forwarder
        latest_ms = min(req.call.deadline_ms, forwarder.answer_by_ms)
        return now_ms >= latest_ms and not forwarder.is_active(req)

    def _refuse_slow_body(self, req: ActiveRequest) -> None:
        error = RequestTimeout("the request body did not arrive in time")
        self._conn.close_after_response()
        self._server.forwarder.abort(req, error)
        if not self._server.forwarder.is_active(req):
            self._send_error(error, req.call.request_id)
            self.stream.close()

    def _check_write_progress(self, now_ms: float) -> None:
        written = self.stream._total_write_done_index
        if written != self._progress_bytes or not self.stream.writing():
            self._progress_bytes = written
            self._last_progress_ms = now_ms
        elif now_ms - self._last_progress_ms > WRITE_TIMEOUT_MS:
            reset_connection(self._conn)

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        if phase is Phase.HEAD:
            self._server.connection_limit.record_waiting(self)
        else:
            self._server.connection_limit.record_busy(self)
        self._last_progress_ms = self._server.clock.now_ms()
        self._progress_bytes = 0

    async def _serve_one(self) -> bool:
        conn = self._conn
        self._sink = None
        request_id = ""
        try:
            line, headers = await conn.read_head()
            self._enter(Phase.RESPONSE)
            if self._server.closing:
                conn.close_after_response()
            request_id = self._protocol.read_request_id(headers)
            request_id = request_id or self._server.next_request_id()
            await self._forward(line, headers, request_id)
        except RequestError as exc:
            self._send_error(exc, request_id or self._server.next_request_id())
        await conn.flush()
        if self._server.closing:
            conn.close_after_response()
        return conn.is_persistent and not self.stream.closed()

    async def _forward(
        self, line: RequestStartLine, headers: HTTPHeaders, request_id: str
    ) -> None:
        conn = self._conn
        body = conn.make_body(headers, self._server.replay_memory)
        try:
            call = self._protocol.make_call(
                line=line,
                headers=headers,
                request_id=request_id,
                caller=self._caller,
                tables=self._server.tables,
                now_ms=self._server.clock.now_ms(),
            )
        except RequestError as exc:
            self._server.on_refused(request_id, line.path, exc)
            raise
        sink = CallerSink(conn=conn, request_id=request_id, protocol=self._protocol)
        req = ActiveRequest(call=call, line=line, headers=headers, body=body, sink=sink)
        self._req = req
        self._sink = sink
        self.stream.set_close_callback(self._on_caller_disconnected)
        try:
            if body is not None:
                await self._read_body(body, headers)
            self._protocol.prepare_headers(req)
            await self._server.forwarder.forward(req)
        finally:
            self._req = None
            self.stream.set_close_callback(None)
            if body is not None:
                body.release()
            if self._reader is not None:
                self._reader.cancel()
                self._reader = None

    async def _read_body(self, body: RequestBody, headers: HTTPHeaders) -> None:
        self._enter(Phase.BODY)
        length = headers.get("Content-Length")
        reading = self._conn.read_into(body, headers)
        if length is not None and int(length) <= REPLAY_BYTES:
            await reading
            self._enter(Phase.RESPONSE)
            return
        self._reader = asyncio.create_task(self._read_in_background(reading))
        await body.prefetch()

    async def _read_in_background(self, reading: Awaitable[None]) -> None:
        try:
            await reading
            self._enter(Phase.RESPONSE)
        except BadRequest as exc:
            self._conn.close_after_response()
            if self._req is not None:
                self._server.forwarder.abort(self._req, exc)
        except StreamClosedError:
            self._on_caller_disconnected()

    def _on_caller_disconnected(self) -> None:
        if self._req is not None:
            error = CallerGone("the caller left")
            self._server.forwarder.abort(self._req, error)

    def _send_error(self, error: RequestError, request_id: str) -> None:
        if self.stream.closed() or isinstance(error, CallerGone):
            return
        if self._sink is not None and self._sink.sent:
            reset_connection(self._conn)
            return
        write_error(self._conn, self._protocol.make_error(error, request_id))

    async def _linger(self) -> None:
        if self.stream.closed() or self._conn.read_finished:
            return
        # Closing a socket with unread input resets the connection, and the caller could
        # lose the response.
        self._enter(Phase.LINGER)
        closed = asyncio.Event()
        self.stream.set_close_callback(closed.set)
        self.stream.socket.shutdown(socket.SHUT_WR)
        await closed.wait()
