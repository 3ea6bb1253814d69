"""One attempt to run a request on the upstream that the router chose."""

import asyncio
from collections.abc import Callable

from mangohatch.clock import Clock
from mangohatch.core.call import Grant, Report
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.continuation import ContinuationSink
from mangohatch.entry.protocol import ProtocolAdapter
from mangohatch.entry.retry import is_server_failure, result_of_status
from mangohatch.errors import UpstreamAborted, UpstreamFailed, UpstreamRefused
from mangohatch.upstream.connection import (
    ResponseHead,
    ResponseSink,
    UpstreamConnection,
)
from mangohatch.upstream.liveness import SilenceDetector
from mangohatch.upstream.pool import ConnectionPool

__all__ = ["AttemptRunner"]

MAX_MISMATCHED_RESPONSES = 4  # late or doubled responses skipped before the right one


class AttemptRunner:
    """
    Sends requests over pooled connections.

    :param clock: source of time
    :param pool: connections to upstreams
    :param protocol: header fields of callers and upstreams
    :param may_retry: spends leave for another attempt of a request, if there is any
    """

    def __init__(
        self,
        *,
        clock: Clock,
        pool: ConnectionPool,
        protocol: ProtocolAdapter,
        may_retry: Callable[[ActiveRequest], bool],
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._protocol = protocol
        self._may_retry = may_retry
        self._silence = SilenceDetector()

    async def run(self, req: ActiveRequest, grant: Grant, report: Report) -> None:
        """
        Send a request once and stream its response to the caller.

        :param req: the request
        :param grant: names the upstream
        :param report: filled with what the attempt showed
        :raises RequestError: when the caller did not get the whole response
        """
        call = req.call
        conn = self._pool.acquire(
            grant.upstream,
            fresh=req.needs_new_connection,
            recently_active=not call.idempotent,
        )
        req.conn = conn
        reusable = False
        try:
            if not conn.connected:
                await conn.connect()
            if req.failure is not None:
                raise req.failure
            reusable = await self._exchange(req, conn, report)
        finally:
            req.conn = None
            req.awaits_head = False
            self._pool.release(conn, reusable=reusable)

    async def _exchange(
        self, req: ActiveRequest, conn: UpstreamConnection, report: Report
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
        req.awaits_head = True
        sending = send_request(req, conn)
        try:
            head, skipped = await self._read_matching_head(req, conn)
            req.awaits_head = False
            report.first_byte_ms = conn.last_read_ms - conn.sent_ms
            self._silence.observe(conn.upstream, report.first_byte_ms)
            report.result = result_of_status(head.line.code)
            self._protocol.read_upstream_state(head, report)
            sink = self._select_sink(req, head)
            # What is still to be sent of a request that was answered early would
            # be taken for the start of the next one.
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

    def _select_sink(self, req: ActiveRequest, head: ResponseHead) -> ResponseSink:
        if self._protocol.is_not_run(head):
            raise UpstreamRefused("the upstream did not run the request")
        self._protocol.check_response(head)
        if req.continuation is not None:
            req.continuation.check(head)
            return ContinuationSink(sink=req.sink)
        if not req.call.idempotent or not is_server_failure(head):
            return req.sink
        if self._may_retry(req):
            req.retry_allowed = True
            raise UpstreamFailed(f"the upstream answered {head.line.code}")
        return req.sink


def send_request(
    req: ActiveRequest, conn: UpstreamConnection
) -> asyncio.Task[None] | None:
    """
    Send a request, its body as far as it is kept.

    :param req: the request
    :param conn: a connection to the upstream
    :return: sends the rest of the body; None without a rest
    """
    body = req.body
    if body is None:
        conn.send_head(req.line, req.headers, None)
        return None
    conn.send_head(req.line, req.headers, bytes(body.replay_prefix))
    if not body.has_rest:
        return None
    body.rest_taken = True
    sending = asyncio.create_task(conn.send_rest(body.rest()))
    sending.add_done_callback(consume_exception)
    return sending


def consume_exception(task: asyncio.Task[None]) -> None:
    """
    Mark the exception of a task as seen; its connection tells of the failure.

    :param task: a task that ended
    """
    if not task.cancelled():
        task.exception()
