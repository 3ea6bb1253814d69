"""Forwarding of one request: admission, attempts and the response."""

import asyncio

from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine

from mangohatch.clock import Clock
from mangohatch.core.call import Call, Decision, Grant, Refusal, Report, Result
from mangohatch.core.router import Router
from mangohatch.entry.body import RequestBody
from mangohatch.entry.headers import (
    DEADLINE_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    forwardable,
)
from mangohatch.errors import (
    DeadlineExceeded,
    Outcome,
    UpstreamAborted,
    UpstreamUnreachable,
)
from mangohatch.upstream.connection import ResponseSink
from mangohatch.upstream.pool import ConnectionPool

__all__ = ["Forwarder"]


class CallerSink(ResponseSink):
    """Writes a response to the caller as it arrives."""

    def __init__(self, *, conn, request_id: str) -> None:
        self._conn = conn
        self._request_id = request_id
        self.started = False

    async def start(self, line: ResponseStartLine, headers: HTTPHeaders) -> None:
        out = forwardable(headers)
        out[OUTCOME_HEADER] = Outcome.DONE
        out[REQUEST_ID_HEADER] = self._request_id
        self.started = True
        await self._conn.write_headers(line, out)

    async def write(self, chunk: bytes) -> None:
        await self._conn.write(chunk)


class Forwarder:
    """Carries requests from callers to upstreams."""

    def __init__(self, *, clock: Clock, router: Router, pool: ConnectionPool) -> None:
        self._clock = clock
        self._router = router
        self._pool = pool

    async def forward(
        self,
        call: Call,
        line: RequestStartLine,
        headers: HTTPHeaders,
        body: RequestBody | None,
        conn,
    ) -> None:
        """
        Run a call and stream its response to the caller.

        :param call: the call to route
        :param line: request line as received
        :param headers: header fields as received
        :param body: the request body, None without one
        :param conn: the caller's connection
        :raises RequestError: when the caller has to be told of a failure
        """
        grant = await self._admit(call)
        remaining_ms = call.deadline_ms - self._clock.now_ms()
        out = forwardable(headers)
        out[REQUEST_ID_HEADER] = call.request_id
        out[DEADLINE_HEADER] = f"{remaining_ms:.0f}"
        sink = CallerSink(conn=conn, request_id=call.request_id)
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                await self._attempt(grant, line, out, body, sink)
        except TimeoutError as exc:
            raise DeadlineExceeded("the upstream did not answer in time") from exc
        conn.finish()

    async def _admit(self, call: Call) -> Grant:
        fut: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._router.request(call, fut.set_result)
        decision = await fut
        if isinstance(decision, Refusal):
            raise decision.error
        return decision

    async def _attempt(
        self,
        grant: Grant,
        line: RequestStartLine,
        headers: HTTPHeaders,
        body: RequestBody | None,
        sink: CallerSink,
    ) -> None:
        result = Result.CANCELLED
        started_ms = self._clock.now_ms()
        conn = None
        reusable = False
        try:
            conn = await self._pool.acquire(grant.upstream)
            chunks = body.chunks() if body is not None else None
            reusable = await conn.exchange(line, headers, chunks, sink)
            result = Result.OK
        except UpstreamUnreachable:
            result = Result.UNREACHABLE
            raise
        except UpstreamAborted:
            result = Result.ABORTED
            raise
        finally:
            latency_ms = self._clock.now_ms() - started_ms
            self._router.release(grant, Report(result=result, latency_ms=latency_ms))
            if conn is not None:
                if reusable:
                    self._pool.put(grant.upstream, conn)
                else:
                    conn.close()
