"""A host with the production's placement, moves and hedges, in virtual time."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from bench.virtual.loop import LoopTimers
from bench.virtual.noisy import Work
from bench.virtual.result import quantile
from mangohatch.core.call import Call, Decision, Grant, Refusal, Report, Result
from mangohatch.core.choice.expected import ExpectedTimeChooser
from mangohatch.core.choice.placement import PlacementListener
from mangohatch.core.contention import ContentionOrder
from mangohatch.core.health import OutlierHealth
from mangohatch.core.hedging import (
    HedgePolicy,
    HedgeShare,
    HedgeSystem,
    ReportedSlowness,
)
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.moving import MovePolicy
from mangohatch.core.retry import LocalRetryBudget
from mangohatch.core.router import Router
from mangohatch.core.tables import Tables

if TYPE_CHECKING:
    from bench.virtual.hedging import NoisyRun

__all__ = ["SERVICE", "TICK_MS", "ZONE", "NoisyHost", "Request"]

SERVICE = "gallery"
ZONE = "a"
TICK_MS = 20.0  # as a host checks its requests
LINK_MS = 0.5


@dataclass(slots=True, kw_only=True, eq=False)
class Attempt:
    """One attempt of a request at an upstream."""

    grant: Grant
    work: Work


@dataclass(slots=True, kw_only=True, eq=False)
class Request:
    """A request of a caller with its attempts in flight, at most two."""

    call: Call
    work_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    refusal: str = ""


class SlowerThan(HedgePolicy):
    """Hedges after a quantile of recent durations, whatever the load reports say."""

    def __init__(self, *, run: "NoisyRun", quantile: float) -> None:
        self._run = run
        self._quantile = quantile

    def is_late(self, grant: Grant) -> bool:
        recent = sorted(self._run.durations[-500:])
        waited_ms = self._run.loop.now_ms - grant.granted_ms
        return len(recent) > 50 and waited_ms > quantile(recent, self._quantile)

    def is_sooner(self, grant: Grant, hedge: Call) -> bool:
        return True


class PeerNews(PlacementListener):
    """Tells the other hosts which requests begin and end at upstreams."""

    def __init__(self, *, run: "NoisyRun", index: int) -> None:
        self._run = run
        self._index = index

    def on_started(self, grant: Grant) -> None:
        self._run.tell(self._index, grant, started=True)

    def on_ended(self, grant: Grant) -> None:
        self._run.tell(self._index, grant, started=False)

    def on_waiting(self, service: str) -> None:
        self._run.tell_waiting(self._index)


class NoisyHost:
    """A host with the production's placement, moves and hedges."""

    def __init__(self, *, run: "NoisyRun", index: int) -> None:
        self.run = run
        self.index = index
        loop, plan = run.loop, run.plan
        clock = loop.clock
        rng = random.Random(f"{plan.seed}/host/{index}")
        self.tables = Tables()
        self.tables.apply(run.spec, revision=1)
        self.rows = self.tables.services[SERVICE].upstreams
        health = OutlierHealth(clock=clock, rng=rng)
        self.estimator = LoadEstimator(clock=clock)
        self.contention = ContentionOrder(clock=clock, host_id=f"h{index}")
        chooser = ExpectedTimeChooser(
            clock=clock,
            rng=rng,
            health=health,
            timers=LoopTimers(loop=loop),
            estimator=self.estimator,
            zone=ZONE,
            listener=PeerNews(run=run, index=index),
            contention=self.contention,
        )
        self.router = Router(
            clock=clock,
            rng=rng,
            tables=self.tables,
            health=health,
            chooser=chooser,
            timers=LoopTimers(loop=loop),
        )
        self.estimator.on_improvement = chooser.apply_contention_order
        parts = dict(
            clock=clock, tables=self.tables, estimator=self.estimator, chooser=chooser
        )
        self.moving = MovePolicy(**parts)
        policy: HedgePolicy = ReportedSlowness(**parts)
        if plan.after:
            policy = SlowerThan(run=run, quantile=plan.after)
        self.hedges = HedgeSystem(
            policy=policy,
            share=HedgeShare(ratio=plan.ratio),
            is_suspected=lambda call: False,
            has_waiting=self._has_waiting,
        )
        self.budget = LocalRetryBudget(clock=clock)
        self.requests: dict[Request, None] = {}  # in order of arrival
        self.moves = 0
        self.announced = False

    def _has_waiting(self, service: str) -> bool:
        waiting = self.router.count_waiting(service)
        return waiting > 0 or self.contention.is_contested(service)

    def arrive(self, call: Call, work_ms: float) -> None:
        """
        Accept a request.

        :param call: the request
        :param work_ms: its work at the typical speed
        """
        self.budget.earn(call)
        self.hedges.earn(call)
        request = Request(call=call, work_ms=work_ms)
        self.requests[request] = None
        self._send(request, call)

    def _send(self, request: Request, call: Call) -> None:
        def deliver(decision: Decision) -> None:
            if isinstance(decision, Refusal):
                if not request.attempts:
                    self.requests.pop(request, None)
                return
            attempt = Attempt(
                grant=decision,
                work=Work(
                    rest_ms=request.work_ms,
                    on_end=lambda ran: self._later(self._end, request, attempt, ran),
                ),
            )
            request.attempts.append(attempt)
            upstream = self.run.upstreams[decision.upstream.name]
            self._later(upstream.arrive, attempt.work)

        self.router.request(call, deliver)

    def _later(self, function: Callable[..., None], *args) -> None:
        self.run.loop.after(LINK_MS, function, *args)

    def _release(self, request: Request, attempt: Attempt, result: Result) -> None:
        request.attempts.remove(attempt)
        took_ms = self.run.loop.now_ms - attempt.grant.granted_ms
        first_byte_ms = took_ms if result is Result.OK else None
        report = Report(result=result, latency_ms=took_ms, first_byte_ms=first_byte_ms)
        self.router.release(attempt.grant, report)

    def _cancel(self, request: Request, attempt: Attempt, result: Result) -> None:
        self._release(request, attempt, result)
        upstream = self.run.upstreams[attempt.grant.upstream.name]
        self._later(upstream.cancel, attempt.work)

    def _end(self, request: Request, attempt: Attempt, ran: bool) -> None:
        if attempt not in request.attempts:
            return
        self._release(request, attempt, Result.OK if ran else Result.REFUSED)
        if ran:
            for other in [*request.attempts]:
                self._cancel(request, other, Result.SUPERSEDED)
            self.hedges.won += attempt.grant.call.hedge
            self.requests.pop(request, None)
            self.run.record(request)
        elif not request.attempts:
            self._retry(request, attempt)

    def _retry(self, request: Request, attempt: Attempt) -> None:
        call = request.call
        if call.attempt >= call.max_attempts or not self.budget.allow(call):
            self.requests.pop(request, None)
            return
        name = attempt.grant.upstream.name
        request.call = replace(
            call, avoid=call.avoid | {name}, attempt=call.attempt + 1
        )
        self._send(request, request.call)

    def tick(self) -> None:
        """Check the requests in flight as a host does."""
        self.router.tick()
        if self.announced:
            self.run.tell_waiting(self.index)
        for request in [*self.requests]:
            if self.run.loop.now_ms >= request.call.deadline_ms:
                self.requests.pop(request, None)
                for attempt in [*request.attempts]:
                    self._cancel(request, attempt, Result.TIMEOUT)
            elif len(request.attempts) == 1 and request.call.idempotent:
                self._consider(request, request.attempts[0])
        self.run.loop.after(TICK_MS, self.tick)

    def _consider(self, request: Request, attempt: Attempt) -> None:
        call, grant = request.call, attempt.grant
        following = replace(
            call,
            avoid=call.avoid | {grant.upstream.name},
            attempt=call.attempt + 1,
        )
        if self.hedges.is_late(grant):
            hedge = replace(following, hedge=True)
            refusal = self.hedges.take(
                grant, hedge, lambda: self.budget.allow(request.call)
            )
            if refusal is None:
                self._send(request, hedge)
                if len(request.attempts) == 2:
                    request.call = replace(call, attempt=hedge.attempt)
                    self.hedges.sent += 1
                    self.run.sent_ms.append((self.run.loop.now_ms, self.index))
                    return
                self.hedges.give_back(hedge)
            elif refusal != request.refusal:
                request.refusal = refusal
                self.hedges.refused[refusal] += 1
        if not self.run.plan.moves or call.attempt >= call.max_attempts:
            return
        if self.moving.should_move(grant) and self.budget.allow(call):
            self.moves += 1
            self._cancel(request, attempt, Result.CANCELLED)
            request.call = following
            self._send(request, following)
