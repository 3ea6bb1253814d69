"""Forwarding of one request: admission, attempts and the response."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import replace

import structlog

from mangohatch.claims import Answer, ClaimRegistry
from mangohatch.clock import Clock
from mangohatch.core.call import Call, Decision, Grant, Refusal, Report, Result
from mangohatch.core.hedging import HedgeSystem
from mangohatch.core.quarantine import QuarantineGate
from mangohatch.core.resend import may_send_again
from mangohatch.core.retry import LocalRetryBudget, RetryBudget
from mangohatch.core.router import Router
from mangohatch.entry.active import ActiveRequest
from mangohatch.entry.attempt import AttemptRunner
from mangohatch.entry.continuation import plan_continuation
from mangohatch.entry.events import RequestEvents
from mangohatch.entry.hedging import HedgeRunner
from mangohatch.entry.keyed import claim, is_keyed, make_answer, replay
from mangohatch.entry.monitor import RequestMonitor
from mangohatch.entry.native import NativeProtocol
from mangohatch.entry.observer import NoObserver, RequestObserver
from mangohatch.entry.protocol import ProtocolAdapter
from mangohatch.entry.retry import is_not_run, is_retried, result_of
from mangohatch.entry.retry_beside import RetriesBeside
from mangohatch.entry.second_attempt import SecondAttempts
from mangohatch.errors import (
    AttemptMoved,
    CallerGone,
    ContinuationFailed,
    DeadlineExceeded,
    InternalFailure,
    NoUpstream,
    Outcome,
    RequestError,
    UpstreamAborted,
    UpstreamFailed,
    UpstreamRefused,
    UpstreamUnreachable,
    UpstreamWithdrawn,
)
from mangohatch.timeline.event import EventKind
from mangohatch.timeline.recorder import Recorder
from mangohatch.upstream.pool import ConnectionPool

__all__ = ["Forwarder"]

log = structlog.get_logger()

CONTINUATION_DEADLINE_MS = 5_000.0
CONTINUABLE_ERRORS = (
    ContinuationFailed,
    UpstreamAborted,
    UpstreamRefused,
    UpstreamUnreachable,
)


# What the loss of a direct path may look like. A broken connection is checked anyway.
LINK_FAILURES = frozenset({Result.SILENT, Result.TIMEOUT, Result.UNREACHABLE})
# Results of an attempt that do not tell a dead connection from a slow upstream.
SILENCES = frozenset({Result.TIMEOUT, Result.SUPERSEDED})


class Forwarder:
    """
    Forwards requests from callers to upstreams.

    Requests are answered by ``answer_by_ms``, where this host stops soon after it.

    :param clock: source of time
    :param router: selects upstreams
    :param pool: connections to upstreams
    :param budget: limits retries; a local retry budget by default
    :param registry: claims keys of non-idempotent requests; None to ignore keys
    :param protocol: adapter for the header fields of callers and upstreams;
        ``NativeProtocol`` by default
    :param recorder: receives events; None to record none
    :param observer: notified of the start, retries and end of each request
    :param should_move: returns whether another upstream would finish sooner; None to
        never move requests
    :param hedges: decides about second attempts beside slow ones; None to send none
    """

    def __init__(
        self,
        *,
        clock: Clock,
        router: Router | QuarantineGate,
        pool: ConnectionPool,
        budget: RetryBudget | None = None,
        registry: ClaimRegistry | None = None,
        protocol: ProtocolAdapter | None = None,
        recorder: Recorder | None = None,
        observer: RequestObserver | None = None,
        should_move: Callable[[Grant], bool] | None = None,
        hedges: HedgeSystem | None = None,
    ) -> None:
        self.protocol = protocol or NativeProtocol()
        self._clock = clock
        self._router = router
        self._pool = pool
        self._budget = budget or LocalRetryBudget(clock=clock)
        self._registry = registry
        self._observer = observer or NoObserver()
        self._events = RequestEvents(clock=clock, recorder=recorder)
        self._attempts = AttemptRunner(
            clock=clock,
            pool=pool,
            protocol=self.protocol,
            may_retry=self._request_safe_retry,
            on_statement=router.observe,
        )
        self.active: set[ActiveRequest] = set()
        self.answer_by_ms = math.inf
        second_attempts = SecondAttempts(
            clock=clock,
            router=router,
            active=self.active,
            run_attempt=self._run_attempt,
        )
        self._hedges: HedgeRunner | None = None
        if hedges is not None:
            self._hedges = HedgeRunner(
                hedges=hedges,
                second_attempts=second_attempts,
                spend_retry=self._spend_retry,
            )
        beside = RetriesBeside(
            second_attempts=second_attempts,
            events=self._events,
            observer=self._observer,
        )
        self._monitor = RequestMonitor(
            clock=clock,
            router=router,
            pool=pool,
            events=self._events,
            may_retry=self._may_retry,
            may_continue=self._may_continue,
            request_retry=self._ask_retry,
            retry_beside=beside.start,
            should_move=should_move,
            spend_retry=self._spend_retry,
            hedge=self._hedges.try_start if self._hedges is not None else None,
            bounds_transfer=self.protocol.bounds_transfer,
        )

    async def forward(self, req: ActiveRequest) -> None:
        """
        Run a request, or replay the response kept for its key.

        :param req: the request
        :raises RequestError: when the request failed
        """
        try:
            await self._forward(req)
        except RequestError as exc:
            self._observer.on_ended(req, exc)
            raise
        self._observer.on_ended(req, None)

    async def _forward(self, req: ActiveRequest) -> None:
        req.call.deadline_ms = min(req.call.deadline_ms, self.answer_by_ms)
        if self._registry is None or not is_keyed(req):
            await self._run(req)
            return
        result = await claim(self._registry, req)
        if isinstance(result, Answer):
            replay(result, req.sink)
            return
        req.sink.copy = bytearray()
        try:
            await self._run(req)
        except RequestError as exc:
            await result.finish(exc.outcome, None)
            raise
        except BaseException:
            await result.finish(Outcome.UNKNOWN, None)
            raise
        await result.finish(req.sink.outcome, make_answer(req.sink))

    async def _run(self, req: ActiveRequest) -> None:
        self.active.add(req)
        self._observer.on_started(req)
        try:
            if req.body is not None:
                await req.body.prefetch()
            if req.call.attempt == 1:
                self._budget.earn(req.call)
                if self._hedges is not None:
                    self._hedges.earn(req.call)
            while True:
                error = await self._try_once(req)
                if error is None:
                    break
                await self._prepare_retry(req, error)
                self._observer.on_retried(req)
            req.sink.end()
        except RequestError as exc:
            raise self._fail(req, exc) from exc
        except Exception as exc:
            log.exception("request_failed", request_id=req.call.request_id)
            failure = InternalFailure("the entry host failed")
            raise self._fail(req, failure) from exc
        finally:
            self.active.discard(req)
            if req.race is not None:
                req.race.abort(CallerGone("the request has ended"))
            self._events.record_slow(req)

    def abort(self, req: ActiveRequest, error: RequestError) -> None:
        """
        Abort a request at whatever stage it is.

        :param req: the request
        :param error: reason; reported to the caller unless its response has started
        """
        req.abort(error, self._router)

    def is_active(self, req: ActiveRequest) -> bool:
        """
        Return whether a request is being forwarded.

        :param req: the request
        :return: whether it is in flight
        """
        return req in self.active

    def tick(self) -> None:
        """Abort requests past their deadline or on connections considered dead."""
        self._pool.tick()
        self._monitor.tick(tuple(self.active), answer_by_ms=self.answer_by_ms)

    async def _try_once(self, req: ActiveRequest) -> RequestError | None:
        error = await self._run_attempt(req)
        return error if req.race is None else await req.race.settle(error)

    async def _run_attempt(self, req: ActiveRequest) -> RequestError | None:
        grant = await self._admit(req)
        req.attempt_failure = None
        started_ms = self._clock.now_ms()
        report = Report(result=Result.CANCELLED, latency_ms=0.0)
        try:
            await self._attempts.run(req, grant, report)
            return None
        except RequestError as exc:
            error = req.failure or req.attempt_failure or exc
            report.result = result_of(error)
            report.not_run = is_not_run(error)
            if req.silent and req.reuses_connection and report.result in SILENCES:
                report.result = Result.SILENT
            if req.cut_off and report.result in LINK_FAILURES:
                report.result = Result.CANCELLED  # no evidence about the upstream
            if req.failure is not None:
                raise req.failure from exc
            return error
        finally:
            if report.statement.pause_ms is not None:
                report.result = Result.REFUSED  # no evidence that it fails
            report.latency_ms = self._clock.now_ms() - started_ms
            req.upstream_ms += report.latency_ms
            self._router.release(grant, report)

    async def _admit(self, req: ActiveRequest) -> Grant:
        decision: Decision | None = None

        def deliver(answer: Decision) -> None:
            nonlocal decision
            if req.admission is None:
                decision = answer
            elif not req.admission.done():
                req.admission.set_result(answer)
            elif isinstance(answer, Grant):
                unused = Report(result=Result.CANCELLED, latency_ms=0.0, not_run=True)
                self._router.release(answer, unused)

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
            return await self._admit_without_exclusions(req, decision.error)
        req.grant = decision
        req.upstream = decision.upstream
        return decision

    async def _admit_without_exclusions(
        self, req: ActiveRequest, error: RequestError
    ) -> Grant:
        if not req.call.avoid or not isinstance(error, NoUpstream):
            raise error
        if not req.may_retry_same_upstream:
            raise req.last_error or error
        req.call = replace(req.call, avoid=frozenset())
        return await self._admit(req)

    def _spend_retry(self, req: ActiveRequest) -> bool:
        return self._may_retry(req) and self._budget.allow(req.call)

    def _may_retry(self, req: ActiveRequest) -> bool:
        return not req.sink.sent and self._may_send_again(req, req.call)

    def _may_continue(self, req: ActiveRequest) -> bool:
        plan = plan_continuation(req.line.method, req.sink)
        return plan is not None and self._may_send_again(req, self._continued(req.call))

    def _may_send_again(
        self, req: ActiveRequest, call: Call, *, may_have_run: bool = True
    ) -> bool:
        return may_send_again(
            call,
            may_have_run=may_have_run,
            body_kept=req.body is None or req.body.replayable,
            now_ms=self._clock.now_ms(),
        )

    def _continued(self, call: Call) -> Call:
        if self.protocol.bounds_transfer:
            return call
        # The deadline is that of the head, so the rest may come later.
        end_ms = self._clock.now_ms() + CONTINUATION_DEADLINE_MS
        return replace(call, deadline_ms=max(call.deadline_ms, end_ms))

    def _ask_retry(self, req: ActiveRequest, deliver: Callable[[bool], None]) -> None:
        self._budget.request(req.call, deliver)

    async def _request_retry(self, req: ActiveRequest) -> bool:
        fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

        def deliver(allowed: bool) -> None:
            if not fut.done():
                fut.set_result(allowed)

        self._budget.request(req.call, deliver)
        return await fut

    async def _request_safe_retry(self, req: ActiveRequest) -> bool:
        return self._may_retry(req) and await self._request_retry(req)

    async def _prepare_continuation(
        self, req: ActiveRequest, error: RequestError
    ) -> None:
        plan = plan_continuation(req.line.method, req.sink)
        call = self._continued(req.call)
        if plan is None or not self._may_send_again(req, call):
            raise error
        if not isinstance(error, CONTINUABLE_ERRORS):
            raise error
        allowed = req.retry_allowed
        req.retry_allowed = False
        if not allowed and not await self._request_retry(req):
            raise error
        assert req.upstream is not None
        previous = req.continuation
        no_progress = previous is not None and previous.first_byte == plan.first_byte
        avoid = req.call.avoid if no_progress else frozenset()
        plan.set_range_headers(req.headers)
        req.continuation = plan
        req.needs_new_connection = True
        req.call = replace(
            call, avoid=avoid | {req.upstream.name}, attempt=call.attempt + 1
        )
        self._events.record(EventKind.REQUEST_RETRIED, req, error.code)

    async def _prepare_retry(self, req: ActiveRequest, error: RequestError) -> None:
        if isinstance(error, UpstreamWithdrawn):
            # No byte was sent, so this was no attempt and costs no retry.
            req.last_error = error
            return
        if req.sink.sent:
            await self._prepare_continuation(req, error)
            return
        call = req.call
        allowed = req.retry_allowed
        req.retry_allowed = False
        may_have_run = not is_not_run(error)
        if not is_retried(error):
            raise error
        if not self._may_send_again(req, call, may_have_run=may_have_run):
            raise error
        if not allowed and not await self._request_retry(req):
            raise error
        assert req.upstream is not None
        req.last_error = error
        req.sink.discard()
        moved = isinstance(error, AttemptMoved)
        req.needs_new_connection = isinstance(error, UpstreamAborted) and not moved
        req.may_retry_same_upstream = isinstance(
            error, (UpstreamAborted, UpstreamFailed)
        )
        req.call = replace(
            call,
            avoid=call.avoid | {req.upstream.name},
            attempt=call.attempt + 1,
        )
        self._events.record(EventKind.REQUEST_RETRIED, req, error.code)

    def _fail(self, req: ActiveRequest, error: RequestError) -> RequestError:
        error = req.failure or error
        req.sink.discard()
        if req.race is not None:
            req.race.merge()
        error.outcome = Outcome.UNKNOWN if req.may_have_run else Outcome.NOT_RUN
        if not isinstance(error, CallerGone):
            refused = error.outcome is Outcome.NOT_RUN
            kind = EventKind.REQUEST_REFUSED if refused else EventKind.REQUEST_FAILED
            self._events.record(kind, req, error.code)
        return error
