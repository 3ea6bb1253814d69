"""One attempt to run a request on the upstream that the router chose."""

import asyncio
from collections.abc import Callable

from mangohatch.clock import Clock
from mangohatch.core.call import Grant, Report
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.continuation import ContinuationSink
from mangohatch.entry.headers import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    UPSTREAM_LOAD_HEADER,
    UPSTREAM_STATE_HEADER,
)
from mangohatch.entry.retry import is_server_failure, result_of_status, states_not_run
from mangohatch.errors import UpstreamFailed, UpstreamRefused
from mangohatch.upstream.connection import (
    ResponseHead,
    ResponseSink,
    UpstreamConnection,
)
from mangohatch.upstream.liveness import SilenceDetector
from mangohatch.upstream.pool import ConnectionPool

__all__ = ["AttemptRunner"]

DRAINING = "draining"
MAX_LOAD_DIGITS = 6


class AttemptRunner:
    """
    Sends requests over pooled connections.

    :param clock: source of time
    :param pool: connections to upstreams
    :param may_retry: spends leave for another attempt of a request, if there is any
    """

    def __init__(
        self,
        *,
        clock: Clock,
        pool: ConnectionPool,
        may_retry: Callable[[ActiveRequest], bool],
    ) -> None:
        self._clock = clock
        self._pool = pool
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
        conn = self._pool.take(
            grant.upstream,
            fresh=req.wants_new_connection,
            lively=not call.idempotent,
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
            self._pool.give_back(conn, reusable=reusable)

    async def _exchange(
        self, req: ActiveRequest, conn: UpstreamConnection, report: Report
    ) -> bool:
        req.on_reused = conn.exchanges > 0
        req.silence_limit_ms = self._silence.limit_ms(
            conn.upstream, reused=req.on_reused
        )
        remaining_ms = req.call.deadline_ms - self._clock.now_ms()
        req.headers[DEADLINE_HEADER] = str(max(int(remaining_ms), 1))
        req.headers[ATTEMPT_HEADER] = str(req.call.attempt)
        ran_before = req.may_have_run
        req.may_have_run = True
        req.silent = False
        req.awaits_head = True
        sending = send_request(req, conn)
        try:
            head = await conn.read_head()
            req.awaits_head = False
            report.first_byte_ms = conn.last_read_ms - conn.sent_ms
            self._silence.observe(conn.upstream, report.first_byte_ms)
            report.result = result_of_status(head.line.code)
            read_upstream_state(head, report)
            sink = self._judge(req, head)
            reusable = await conn.read_body(head, sink)
            return reusable and (sending is None or sending.done())
        except UpstreamRefused:
            req.may_have_run = ran_before
            raise
        finally:
            if sending is not None:
                sending.cancel()

    def _judge(self, req: ActiveRequest, head: ResponseHead) -> ResponseSink:
        if states_not_run(head):
            raise UpstreamRefused("the upstream did not run the request")
        if req.continuation is not None:
            req.continuation.check(head)
            return ContinuationSink(sink=req.sink)
        if not req.call.idempotent or not is_server_failure(head):
            return req.sink
        if self._may_retry(req):
            req.retry_allowed = True
            raise UpstreamFailed(f"the upstream answered {head.line.code}")
        return req.sink


def read_upstream_state(head: ResponseHead, report: Report) -> None:
    """
    Take what a response says of its upstream out of its header fields.

    :param head: head of the response
    :param report: filled with load and drain state
    """
    load = head.headers.pop(UPSTREAM_LOAD_HEADER, None)
    if load is not None and load.isascii() and load.isdigit():
        report.upstream_in_flight = int(load[:MAX_LOAD_DIGITS])
    state = head.headers.pop(UPSTREAM_STATE_HEADER, None)
    report.draining = state == DRAINING


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
    conn.send_head(req.line, req.headers, bytes(body.kept))
    if not body.has_rest:
        return None
    body.rest_taken = True
    sending = asyncio.create_task(conn.send_rest(body.rest()))
    sending.add_done_callback(take_exception)
    return sending


def take_exception(task: asyncio.Task[None]) -> None:
    """
    Mark the exception of a task as seen; its connection tells of the failure.

    :param task: a task that ended
    """
    if not task.cancelled():
        task.exception()
