"""Virtual entry host: the production router with simulated callers and attempts."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.virtual.bus import Fleet
from bench.virtual.loop import EventLoop
from bench.virtual.upstream import FakeUpstream, Job, Request
from mangohatch.core.call import Call, Decision, Grant, Refusal, Report, Result
from mangohatch.core.quarantine import QuarantineGate
from mangohatch.core.retry import LocalRetryBudget
from mangohatch.core.statement import UpstreamStatement

__all__ = ["Outcomes", "VirtualHost"]

DEADLINE_MS = 1000.0
MAX_ATTEMPTS = 3
RESEND_DELAY_MS = 5.0
NS_PER_US = 1000.0

SAFE_RETRY = frozenset({Result.REFUSED, Result.UNREACHABLE})


@dataclass(slots=True, kw_only=True)
class Outcomes:
    """
    Outcomes of requests as seen by callers, with counters.

    ``done``, ``refused`` and ``failed`` hold pairs of arrival time and duration in
    milliseconds; ``ended_ms`` holds the times at which successful requests ended.
    """

    ended_ms: list[float] = field(default_factory=list)
    done: list[tuple[float, float]] = field(default_factory=list)
    refused: list[tuple[float, float]] = field(default_factory=list)
    failed: list[tuple[float, float]] = field(default_factory=list)
    attempts: int = 0
    requests: int = 0
    decision_ns: int = 0


class VirtualHost:
    """Entry host that routes requests in virtual time."""

    def __init__(
        self,
        *,
        host_id: str,
        zone: str,
        loop: EventLoop,
        fleet: Fleet,
        router: QuarantineGate,
        retries: LocalRetryBudget,
        upstreams: dict[str, FakeUpstream],
        outcomes: Outcomes,
        resend: Callable[[Request], None],
    ) -> None:
        self.host_id = host_id
        self.zone = zone
        self.router = router
        self._loop = loop
        self._fleet = fleet
        self._upstreams = upstreams
        self._outcomes = outcomes
        self._resend = resend
        self._retries = retries
        self._service = ""

    def arrive(self, request: Request, service: str) -> None:
        """
        Accept a request from a caller and request a slot for it.

        :param request: request of the caller
        :param service: name of the service
        """
        self._service = service
        self._outcomes.requests += 1
        now_ms = self._loop.now_ms
        call = Call(
            request_id=f"{request.number}.{request.resends}",
            service=service,
            arrived_ms=now_ms,
            deadline_ms=now_ms + DEADLINE_MS,
            idempotent=request.idempotent,
            customer=request.customer,
            fingerprint=str(request.number),
        )
        self._retries.earn(call)
        self._request_slot(request, call)

    def _request_slot(self, request: Request, call: Call) -> None:
        started_ns = time.perf_counter_ns()
        self.router.request(
            call, lambda decision: self._handle_decision(request, decision)
        )
        self._outcomes.decision_ns += time.perf_counter_ns() - started_ns

    def _handle_decision(self, request: Request, decision: Decision) -> None:
        call = decision.call
        if isinstance(decision, Refusal):
            self._refuse(request, call)
            return
        self._outcomes.attempts += 1
        latency_ms = self._fleet.latency_ms(self.zone, decision.upstream.zone)
        upstream = self._upstreams[decision.upstream.name]
        job = Job(
            request=request,
            done=lambda *result: self._loop.after(
                latency_ms,
                self._handle_result,
                request,
                decision,
                self._loop.now_ms,
                *result,
            ),
        )
        self._loop.after(latency_ms, self._deliver, upstream, job)

    def _deliver(self, upstream: FakeUpstream, job: Job) -> None:
        if upstream.on_arrival is not None:
            upstream.on_arrival()
        upstream.arrive(job)

    def _handle_result(
        self,
        request: Request,
        grant: Grant,
        ended_ms: float,
        result: Result,
        load: int,
        draining: bool,
    ) -> None:
        latency_ms = self._loop.now_ms - grant.granted_ms
        report = Report(
            result=result,
            latency_ms=latency_ms,
            statement=UpstreamStatement(in_flight=load, leaving=draining),
        )
        started_ns = time.perf_counter_ns()
        self.router.release(grant, report)
        self._outcomes.decision_ns += time.perf_counter_ns() - started_ns
        call = grant.call
        if result is Result.OK:
            self._outcomes.ended_ms.append(self._loop.now_ms)
            self._record(self._outcomes.done, call)
        elif self._may_retry(call, result):
            self._request_slot(request, self._next_attempt(call, grant))
        elif result is Result.REFUSED:
            self._refuse(request, call)
        else:
            self._record(self._outcomes.failed, call)
            self._schedule_resend(request)

    def _may_retry(self, call: Call, result: Result) -> bool:
        safe = call.idempotent or result in SAFE_RETRY
        return safe and call.attempt < MAX_ATTEMPTS and self._retries.allow(call)

    def _next_attempt(self, call: Call, grant: Grant) -> Call:
        return Call(
            request_id=call.request_id,
            service=call.service,
            arrived_ms=call.arrived_ms,
            deadline_ms=call.deadline_ms,
            idempotent=call.idempotent,
            customer=call.customer,
            fingerprint=call.fingerprint,
            avoid=call.avoid | {grant.upstream.name},
            attempt=call.attempt + 1,
        )

    def _refuse(self, request: Request, call: Call) -> None:
        self._record(self._outcomes.refused, call)
        self._schedule_resend(request)

    def _schedule_resend(self, request: Request) -> None:
        if request.resends > 0:
            request.resends -= 1
            self._loop.after(RESEND_DELAY_MS, self._resend, request)

    def _record(self, entries: list[tuple[float, float]], call: Call) -> None:
        entries.append((call.arrived_ms, self._loop.now_ms - call.arrived_ms))
