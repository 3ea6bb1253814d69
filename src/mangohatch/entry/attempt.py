"""Sending of one attempt to the upstream selected by the router."""

import asyncio
import math
from collections.abc import Awaitable, Callable

from mangohatch.clock import Clock
from mangohatch.core.call import Grant, Report
from mangohatch.core.statement import UpstreamStatement
from mangohatch.core.tables import UpstreamRow
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.continuation import ContinuationSink
from mangohatch.entry.protocol import ProtocolAdapter
from mangohatch.entry.race import RaceSink
from mangohatch.entry.retry import is_server_failure, result_of_status
from mangohatch.errors import (
    HostCutOff,
    UpstreamAborted,
    UpstreamFailed,
    UpstreamRefused,
    UpstreamWithdrawn,
)
from mangohatch.upstream.connection import UpstreamConnection
from mangohatch.upstream.liveness import SilenceDetector
from mangohatch.upstream.pool import ConnectionPool
from mangohatch.upstream.response import ResponseHead, ResponseSink

__all__ = ["AttemptRunner"]

MAX_MISMATCHED_RESPONSES = 4  # late or duplicate responses skipped per attempt


class AttemptRunner:
    """
    Sends requests over pooled connections.

    :param clock: source of time
    :param pool: connections to upstreams
    :param protocol: adapter for the header fields of callers and upstreams
    :param may_retry: takes one retry of a request from the retry budget; returns
        whether the retry is permitted
    :param on_statement: called with an upstream and what it says of itself, as soon as
        a response begins
    """

    def __init__(
        self,
        *,
        clock: Clock,
        pool: ConnectionPool,
        protocol: ProtocolAdapter,
        may_retry: Callable[[ActiveRequest], Awaitable[bool]],
        on_statement: Callable[[UpstreamRow, UpstreamStatement], None],
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._protocol = protocol
        self._may_retry = may_retry
        self._on_statement = on_statement
        self._silence = SilenceDetector()

    async def run(self, req: ActiveRequest, grant: Grant, report: Report) -> None:
        """
        Send a request once and stream its response to the caller.

        :param req: the request
        :param grant: admission to the selected upstream
        :param report: receives the result and the timings of the attempt
        :raises RequestError: when the caller did not receive the complete response
        """
        if req.failure is not None:
            raise req.failure
        call = req.call
        conn = self._pool.acquire(
            grant.upstream,
            fresh=req.needs_new_connection,
            recently_active=not call.idempotent,
        )
        req.conn = conn
        req.cut_off = False
        reusable = False
        try:
            if not conn.connected:
                await conn.connect()
            req.relay = conn.relay
            if req.failure is not None:
                raise req.failure
            self._check_withdrawn(grant, conn)
            reusable = await self._exchange(req, conn, report)
        finally:
            req.cut_off = self._pool.is_cut_off(conn)
            req.conn = None
            req.awaits_head = False
            self._pool.release(conn, reusable=reusable)

    def _check_withdrawn(self, grant: Grant, conn: UpstreamConnection) -> None:
        """Check again what may have changed while a connection was opened."""
        row = grant.upstream
        allowed = grant.call.allowed_regions
        if row.drain_causes:
            raise UpstreamWithdrawn(f"upstream {row.name} is draining or gone")
        if not row.signs.allows(self._clock.now_ms(), 0):
            raise UpstreamWithdrawn(f"upstream {row.name} leaves or asks for a pause")
        row.zones.check_pause(self._clock.now_ms())
        excluded = row.zones.describe(row.zone, allowed)
        if excluded:
            raise UpstreamWithdrawn(f"upstream {row.name}: {excluded}")
        if conn.relay and allowed is not None:
            if not row.zones.allows_region(self._pool.relay_zone(conn), allowed):
                raise HostCutOff(f"only another region reaches upstream {row.name}")

    async def _exchange(
        self,
        req: ActiveRequest,
        conn: UpstreamConnection,
        report: Report,
    ) -> bool:
        req.reuses_connection = conn.exchanges > 0
        req.silence_limit_ms = self._silence.limit_ms(
            conn.upstream, reused=req.reuses_connection
        )
        remaining_ms = req.call.deadline_ms - self._clock.now_ms()
        self._protocol.set_attempt_headers(req, conn.upstream, max(remaining_ms, 1.0))
        may_have_run_before = req.may_have_run
        req.may_have_run = True
        req.silent = False
        req.ask_again_ms = -math.inf
        req.awaits_head = True
        sending = send_request(req, conn)
        try:
            head, skipped = await self._read_matching_head(req, conn)
            req.awaits_head = False
            report.first_byte_ms = conn.last_read_ms - conn.sent_ms
            self._silence.observe(conn.upstream, report.first_byte_ms)
            report.result = result_of_status(head.line.code)
            statement = self._protocol.read_statement(head, conn.upstream)
            report.statement = statement
            self._on_statement(conn.upstream, statement)
            sink = await self._select_sink(req, head)
            # If the upstream responds before the whole request was sent, the
            # connection can't be reused: the upstream would parse the remaining
            # body bytes as the start of the next request.
            sent = not conn.stream.writing() and (sending is None or sending.done())
            reusable = await conn.read_body(
                head, sink, until_close=self._protocol.allows_unframed
            )
            report.response_bytes = req.sink.body_bytes
            return reusable and sent and not skipped
        except UpstreamRefused:
            req.may_have_run = may_have_run_before
            raise
        finally:
            if sending is not None:
                sending.cancel()

    async def _read_matching_head(
        self, req: ActiveRequest, conn: UpstreamConnection
    ) -> tuple[ResponseHead, int]:
        for skipped in range(MAX_MISMATCHED_RESPONSES):
            head = await conn.read_head()
            if self._protocol.matches_request(head, req.call.request_id):
                return head, skipped
            await conn.discard_body(head)
        raise UpstreamAborted("the connection carries responses to other requests")

    async def _select_sink(
        self, req: ActiveRequest, head: ResponseHead
    ) -> ResponseSink:
        if self._protocol.is_not_run(head, kept=req.reuses_connection):
            raise UpstreamRefused("the upstream did not run the request")
        if not req.call.idempotent and self._protocol.promises_not_run(head):
            raise UpstreamFailed(f"the upstream answered {head.line.code} after a run")
        self._protocol.check_response(head)
        if req.continuation is not None:
            req.continuation.check(head)
            return ContinuationSink(sink=req.sink)
        if req.call.idempotent and is_server_failure(head):
            beside_other = req.race is not None and not req.race.is_last(req)
            if beside_other or await self._may_retry(req):
                req.retry_allowed = not beside_other
                raise UpstreamFailed(f"the upstream answered {head.line.code}")
        if req.race is None:
            return req.sink
        req.race.check(req)
        return RaceSink(sink=req.sink, race=req.race, req=req)


def send_request(
    req: ActiveRequest, conn: UpstreamConnection
) -> asyncio.Task[None] | None:
    """
    Send a request head with the beginning of the body.

    :param req: the request
    :param conn: a connection to the upstream
    :return: task that sends the rest of the body; None when there is no rest
    """
    body = req.body
    if body is None:
        conn.send_head(req.line, req.headers, None)
        return None
    conn.send_head(req.line, req.headers, body.beginning)
    if not body.has_rest:
        return None
    sending = asyncio.create_task(conn.send_rest(body.rest()))
    sending.add_done_callback(consume_exception)
    return sending


def consume_exception(task: asyncio.Task[None]) -> None:
    """
    Mark the exception of a task as retrieved, so that asyncio does not log it.

    The reader of the same connection reports the failure.

    :param task: a finished task
    """
    if not task.cancelled():
        task.exception()
