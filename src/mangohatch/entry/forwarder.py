"""Forwarding of one request: admission, attempts and the response."""

import asyncio
from dataclasses import replace

from mangohatch.clock import Clock
from mangohatch.core.call import Decision, Grant, Refusal, Report, Result
from mangohatch.core.quarantine import QuarantineGate
from mangohatch.core.retry import LocalRetryBudget, RetryBudget
from mangohatch.core.router import Router
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.headers import DEADLINE_HEADER
from mangohatch.entry.retry import (
    is_retry_safe,
    is_server_failure,
    result_of,
    result_of_status,
    states_not_run,
)
from mangohatch.errors import (
    CallerGone,
    ConnectionSilent,
    DeadlineExceeded,
    Outcome,
    RequestError,
    UpstreamAborted,
    UpstreamFailed,
    UpstreamRefused,
)
from mangohatch.timeline.event import EventKind
from mangohatch.timeline.recorder import Recorder
from mangohatch.upstream.connection import ResponseHead, UpstreamConnection
from mangohatch.upstream.liveness import SilenceDetector
from mangohatch.upstream.pool import ConnectionPool

__all__ = ["Forwarder"]

MAX_ATTEMPTS = 3
SLOW_REQUEST_MS = 1_000.0
BODY_STALL_MS = 30_000.0
RETRY_AFTER_MS = 1_000.0
FIRST_SERVER_ERROR = 500


class Forwarder:
    """
    Carries requests from callers to upstreams.

    :param clock: source of time
    :param router: chooses upstreams
    :param pool: connections to upstreams
    :param budget: gives leave for retries; a local one by default
    :param recorder: receives events; None for no events
    """

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router | QuarantineGate,
        pool: ConnectionPool,
        budget: RetryBudget | None = None,
        recorder: Recorder | None = None,
    ) -> None:
        self._clock = clock
        self._router = router
        self._pool = pool
        self._budget = budget or LocalRetryBudget(clock=clock)
        self._recorder = recorder
        self._silence = SilenceDetector()
        self.active: set[ActiveRequest] = set()

    async def forward(self, req: ActiveRequest) -> None:
        """
        Run a request and stream its response to the caller.

        :param req: the request
        :raises RequestError: when the caller has to be told of a failure
        """
        self.active.add(req)
        try:
            if req.body is not None:
                await req.body.prefetch()
            self._budget.earn(req.call)
            while True:
                error = await self._try_once(req)
                if error is None:
                    break
                self._prepare_retry(req, error)
            req.sink.end()
        except RequestError as exc:
            raise self._fail(req, exc) from exc
        finally:
            self.active.discard(req)
            self._record_slow(req)

    def abort(self, req: ActiveRequest, error: RequestError) -> None:
        """
        Abandon a request wherever it stands.

        :param req: the request
        :param error: why; the caller hears of it when it still can
        """
        req.abort(error, self._router)

    def is_active(self, req: ActiveRequest) -> bool:
        """
        Tell whether a request is being forwarded.

        :param req: the request
        :return: whether :meth:`forward` has begun and not ended
        """
        return req in self.active

    def tick(self) -> None:
        """Abort requests past their deadline or on connections taken for dead."""
        now_ms = self._clock.now_ms()
        self._pool.tick()
        for req in list(self.active):
            if not req.sink.sent:
                self._check_waiting(req, now_ms)
            elif req.conn is not None and not req.sink.stalled:
                if now_ms - req.conn.last_read_ms > BODY_STALL_MS:
                    req.abort_attempt(UpstreamAborted("the response stopped"))

    def _check_waiting(self, req: ActiveRequest, now_ms: float) -> None:
        if now_ms >= req.call.deadline_ms:
            error = DeadlineExceeded("no answer before the deadline")
            req.abort(error, self._router)
        elif req.awaits_head and req.call.idempotent and req.conn is not None:
            quiet_ms = now_ms - req.conn.sent_ms
            if quiet_ms > req.silence_limit_ms and self._may_retry(req):
                self._record(EventKind.CONNECTION_SILENT, req, "")
                req.abort_attempt(ConnectionSilent("the connection went silent"))

    async def _try_once(self, req: ActiveRequest) -> RequestError | None:
        grant = await self._admit(req)
        req.attempt_failure = None
        started_ms = self._clock.now_ms()
        report = Report(result=Result.CANCELLED, latency_ms=0.0)
        try:
            await self._attempt(req, grant, report)
            return None
        except RequestError as exc:
            error = req.failure or req.attempt_failure or exc
            report.result = result_of(error)
            if req.failure is not None:
                raise req.failure from exc
            return error
        finally:
            report.latency_ms = self._clock.now_ms() - started_ms
            self._router.release(grant, report)

    async def _admit(self, req: ActiveRequest) -> Grant:
        decision: Decision | None = None

        def deliver(answer: Decision) -> None:
            nonlocal decision
            if req.admission is not None:
                req.admission.set_result(answer)
            else:
                decision = answer

        if req.failure is not None:
            raise req.failure
        if self._clock.now_ms() >= req.call.deadline_ms:
            raise DeadlineExceeded("the deadline passed before the request was sent")
        req.admission = None
        self._router.request(req.call, deliver)
        if decision is None:
            req.admission = asyncio.get_running_loop().create_future()
            decision = await req.admission
        if isinstance(decision, Refusal):
            raise decision.error
        req.upstream = decision.upstream
        return decision

    async def _attempt(self, req: ActiveRequest, grant: Grant, report: Report) -> None:
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
            if isinstance(req.attempt_failure, ConnectionSilent):
                self._pool.drop_silent(conn)
            self._pool.give_back(conn, reusable=reusable)

    async def _exchange(
        self, req: ActiveRequest, conn: UpstreamConnection, report: Report
    ) -> bool:
        reused = conn.exchanges > 0
        req.silence_limit_ms = self._silence.limit_ms(conn.upstream, reused=reused)
        remaining_ms = req.call.deadline_ms - self._clock.now_ms()
        req.headers[DEADLINE_HEADER] = str(max(int(remaining_ms), 1))
        ran_before = req.may_have_run
        req.may_have_run = True
        req.awaits_head = True
        sending = send_request(req, conn)
        try:
            head = await conn.read_head()
            req.awaits_head = False
            report.first_byte_ms = conn.last_read_ms - conn.sent_ms
            self._silence.observe(conn.upstream, report.first_byte_ms)
            report.result = result_of_status(head.line.code)
            self._judge(req, head)
            reusable = await conn.read_body(head, req.sink)
            return reusable and (sending is None or sending.done())
        except UpstreamRefused:
            req.may_have_run = ran_before
            raise
        finally:
            if sending is not None:
                sending.cancel()

    def _judge(self, req: ActiveRequest, head: ResponseHead) -> None:
        if states_not_run(head):
            raise UpstreamRefused("the upstream did not run the request")
        if not req.call.idempotent or not is_server_failure(head):
            return
        if self._may_retry(req) and self._budget.allow(req.call):
            req.retry_allowed = True
            raise UpstreamFailed(f"the upstream answered {head.line.code}")

    def _may_retry(self, req: ActiveRequest) -> bool:
        return (
            req.call.attempt < MAX_ATTEMPTS
            and not req.sink.sent
            and (req.body is None or req.body.replayable)
            and self._clock.now_ms() < req.call.deadline_ms
        )

    def _prepare_retry(self, req: ActiveRequest, error: RequestError) -> None:
        call = req.call
        allowed = req.retry_allowed
        req.retry_allowed = False
        if not is_retry_safe(call, error) or not self._may_retry(req):
            raise error
        if not allowed and not self._budget.allow(call):
            raise error
        assert req.upstream is not None
        req.sink.discard()
        req.wants_new_connection = isinstance(error, UpstreamAborted)
        req.call = replace(
            call,
            avoid=call.avoid | {req.upstream.name},
            attempt=call.attempt + 1,
        )
        self._record(EventKind.REQUEST_RETRIED, req, error.code)

    def _fail(self, req: ActiveRequest, error: RequestError) -> RequestError:
        error = req.failure or error
        req.sink.discard()
        error.outcome = Outcome.UNKNOWN if req.may_have_run else Outcome.NOT_RUN
        if error.retry_after_ms is None and error.status >= FIRST_SERVER_ERROR:
            error.retry_after_ms = RETRY_AFTER_MS
        if not isinstance(error, CallerGone):
            self._record(EventKind.REQUEST_FAILED, req, error.code)
        return error

    def _record_slow(self, req: ActiveRequest) -> None:
        if self._clock.now_ms() - req.call.arrived_ms > SLOW_REQUEST_MS:
            self._record(EventKind.REQUEST_SLOW, req, "")

    def _record(self, kind: EventKind, req: ActiveRequest, cause: str) -> None:
        if self._recorder is None:
            return
        self._recorder.record(
            kind,
            cause=cause,
            request_id=req.call.request_id,
            service=req.call.service,
            upstream=req.upstream.name if req.upstream else "",
            duration_ms=self._clock.now_ms() - req.call.arrived_ms,
        )


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
