"""One run: a site, a case, a load, a policy and a seed."""

import math
import random
from dataclasses import asdict, dataclass

from bench.virtual.bus import Fleet
from bench.virtual.host import Outcomes, VirtualHost
from bench.virtual.loop import EventLoop, LoopTimers
from bench.virtual.policies import POLICIES, PolicyContext
from bench.virtual.sites import CASES, SITES, Case, Site
from bench.virtual.speed import SpeedLine
from bench.virtual.upstream import FakeUpstream, Request
from mangohatch.core.health import OutlierHealth
from mangohatch.core.measuring import MeasuringCounter
from mangohatch.core.quarantine import (
    QuarantineGate,
    QuarantineNotices,
    QuarantineTable,
)
from mangohatch.core.retry import LocalRetryBudget
from mangohatch.core.router import Router
from mangohatch.core.tables import Tables, UpstreamState
from mangohatch.timeline import HybridClock, Recorder

__all__ = ["Plan", "RunResult", "run_plan"]

MEAN_WORK_MS = 10.0
WORK_SIGMA = 0.4
IDEMPOTENT_SHARE = 0.8
WARM_UP_MS = 500.0
DRAIN_OUT_MS = 1000.0
TICK_MS = 10.0
BURST_FACTOR = 2.0
BURST_MS = 200.0
AFTER_FAULT_MS = 1000.0
CUSTOMERS = 4
NS_PER_US = 1000.0
MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Plan:
    """What to run; ``load`` is a share of capacity."""

    site: str
    case: str
    load: float
    policy: str
    seed: int
    duration_ms: float


@dataclass(slots=True, kw_only=True)
class RunResult:
    """Figures of one run; shares are of 1, costs are per request."""

    plan: Plan
    p50_ms: float
    p99_ms: float
    p999_ms: float
    goodput: float
    refused: float
    failed: float
    refusal_max_ms: float
    doubled: int
    amplification: float
    calls: float
    messages: float
    bytes: float
    decision_us: float
    failer_share: float
    killed: int

    def as_dict(self) -> dict:
        """
        Flatten the result.

        :return: figures and plan by name
        """
        flat = asdict(self)
        return flat.pop("plan") | flat


class Run:
    """The world of one run."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.site: Site = SITES[plan.site]
        self.case: Case = CASES[plan.case]
        self.loop = EventLoop()
        self.fleet = Fleet(loop=self.loop)
        self.end_ms = WARM_UP_MS + plan.duration_ms
        self.spec = self.site.make_spec()
        self.upstreams = {spec.name: self._upstream(spec) for spec in self._specs()}
        self.outcomes = Outcomes()
        self.counters: list[MeasuringCounter] = []
        self.shared: dict = {}
        self.hosts: list[VirtualHost] = []
        buses = [
            self.fleet.join(f"h{index:02d}", self._zone(index))
            for index in range(self.site.hosts)
        ]
        for index, bus in enumerate(buses):
            self.hosts.append(self._host(index, bus))

    def _zone(self, index: int) -> str:
        return self.site.zones[index % len(self.site.zones)]

    def _specs(self):
        return self.spec.upstreams

    def _rng(self, *words: object) -> random.Random:
        plan = self.plan
        return random.Random(f"{plan.seed}/{plan.site}/{words}")

    def _affected(self) -> list[str]:
        names = [spec.name for spec in self._specs()]
        return names[: max(1, len(names) // 5)]

    def _upstream(self, spec) -> FakeUpstream:
        case = self.case
        cold = case.cold_start_ms is not None and spec.name in self._affected()
        line = SpeedLine(
            rng=self._rng("speed", spec.name),
            shifting=case.shifting,
            until_ms=self.end_ms + DRAIN_OUT_MS,
            cold_from_ms=case.cold_start_ms if cold else None,
        )
        loop = self.loop
        upstream = FakeUpstream(name=spec.name, slots=spec.slots, loop=loop, line=line)
        upstream.lies = self._rng("lies", spec.name).random() < case.lying
        return upstream

    def _host(self, index: int, bus) -> VirtualHost:
        loop = self.loop
        rng = self._rng("host", index)
        tables = Tables()
        tables.apply(self.spec, revision=1)
        if self.case.cold_start_ms is not None:
            rows = tables.services[self.spec.name].upstreams
            for name in self._affected():
                rows[name].state = UpstreamState.DRAINING
                loop.at(self.case.cold_start_ms, self._activate, rows[name])
        health = OutlierHealth(clock=loop.clock, rng=rng)
        counter = MeasuringCounter()
        self.counters.append(counter)
        context = PolicyContext(
            loop=loop,
            fleet=self.fleet,
            bus=bus,
            rng=rng,
            tables=tables,
            health=health,
            site=self.site,
            position=index,
            upstreams=self.upstreams,
            counter=counter,
            shared=self.shared,
        )
        router = Router(
            clock=loop.clock,
            rng=rng,
            tables=tables,
            health=health,
            host_id=bus.host_id,
            chooser=POLICIES[self.plan.policy](context),
            timers=LoopTimers(loop=loop),
        )
        return VirtualHost(
            host_id=bus.host_id,
            zone=self._zone(index),
            loop=loop,
            fleet=self.fleet,
            router=self._gate(bus, rng, router),
            retries=LocalRetryBudget(clock=loop.clock),
            upstreams=self.upstreams,
            outcomes=self.outcomes,
            resend=self._resend,
        )

    def _gate(self, bus, rng: random.Random, router: Router) -> QuarantineGate:
        clock = self.loop.clock
        table = QuarantineTable(clock=clock)
        notices = QuarantineNotices(clock=clock, rng=rng, bus=bus, table=table)
        recorder = Recorder(
            host=bus.host_id, zone="", clock=HybridClock(clock=clock), capacity=10
        )
        return QuarantineGate(
            clock=clock,
            router=router,
            table=table,
            notices=notices,
            recorder=recorder,
        )

    def _activate(self, row) -> None:
        row.state = UpstreamState.ACTIVE

    def capacity_per_ms(self) -> float:
        """
        Compute the work that all slots could do, in requests a millisecond.

        :return: requests of mean work
        """
        begin_ms, end_ms = WARM_UP_MS, self.end_ms
        work_ms = sum(
            upstream.slots
            * (upstream.line.work_until(end_ms) - upstream.line.work_until(begin_ms))
            for upstream in self.upstreams.values()
        )
        return work_ms / MEAN_WORK_MS / (end_ms - begin_ms)

    def execute(self) -> RunResult:
        """
        Run to the end.

        :return: the figures
        """
        self._add_arrivals()
        self._add_faults()
        for index, host in enumerate(self.hosts):
            self.loop.at(TICK_MS * index / len(self.hosts), self._tick, host)
        self.loop.run(self.end_ms + DRAIN_OUT_MS)
        return self._result()

    def _tick(self, host: VirtualHost) -> None:
        host.router.tick()
        if self.loop.now_ms < self.end_ms + DRAIN_OUT_MS:
            self.loop.after(TICK_MS, self._tick, host)

    def _add_arrivals(self) -> None:
        rng = self._rng("arrivals")
        rate = self.capacity_per_ms() * self.plan.load
        time_ms = 0.0
        self.requests: list[Request] = []
        mu = math.log(MEAN_WORK_MS) - WORK_SIGMA**2 / 2
        while True:
            time_ms += rng.expovariate(rate * self._burst(time_ms))
            if time_ms >= self.end_ms:
                return
            request = Request(
                number=len(self.requests),
                arrival_ms=time_ms,
                host=rng.randrange(len(self.hosts)),
                work_ms=rng.lognormvariate(mu, WORK_SIGMA),
                idempotent=rng.random() < IDEMPOTENT_SHARE,
                customer=f"c{rng.randrange(CUSTOMERS)}",
                resends=self.case.resends,
            )
            self.requests.append(request)
            self.loop.at(time_ms, self._arrive, request)

    def _burst(self, time_ms: float) -> float:
        start_ms = self.case.burst_ms
        if start_ms is not None and start_ms <= time_ms < start_ms + BURST_MS:
            return BURST_FACTOR
        return 1.0

    def _arrive(self, request: Request) -> None:
        self.hosts[request.host].arrive(request, self.spec.name)

    def _resend(self, request: Request) -> None:
        request.host = self._rng("resend", request.number, request.resends).randrange(
            len(self.hosts)
        )
        self._arrive(request)

    def _add_faults(self) -> None:
        case, loop = self.case, self.loop
        victim = self.upstreams[self._affected()[0]]
        if case.fast_failer_ms is not None:
            loop.at(case.fast_failer_ms, setattr, victim, "fails_fast", True)
        if case.slow_failer_ms is not None:
            loop.at(case.slow_failer_ms, setattr, victim, "fails_slowly", True)
        if case.crash_loop_ms is not None:
            loop.at(case.crash_loop_ms, victim.crash_in_loop)
        if case.drain_ms is not None:
            for name in self._affected():
                upstream = self.upstreams[name]
                loop.at(case.drain_ms, setattr, upstream, "draining", True)
        if case.killer_ms is not None:
            request = Request(
                number=-1,
                arrival_ms=case.killer_ms,
                host=0,
                work_ms=MEAN_WORK_MS,
                idempotent=False,
                customer="c0",
                killer=True,
                resends=50,
            )
            loop.at(case.killer_ms, self._arrive, request)

    def _result(self) -> RunResult:
        out = self.outcomes
        done = sorted(self._durations(out.done))
        refused = self._durations(out.refused)
        failed = self._durations(out.failed)
        total = max(1, len(done) + len(refused) + len(failed))
        expected = self.capacity_per_ms() * (self.end_ms - WARM_UP_MS)
        requests = max(1, out.requests)
        calls = sum(counter.calls for counter in self.counters)
        messages = sum(counter.messages for counter in self.counters)
        size = sum(
            counter.call_bytes + counter.message_bytes for counter in self.counters
        )
        return RunResult(
            plan=self.plan,
            p50_ms=quantile(done, 0.5),
            p99_ms=quantile(done, 0.99),
            p999_ms=quantile(done, 0.999),
            goodput=self._ended_inside() / expected,
            refused=len(refused) / total,
            failed=len(failed) / total,
            refusal_max_ms=max(refused, default=0.0),
            doubled=sum(
                request.starts > 1
                for request in self.requests
                if not request.idempotent
            ),
            amplification=out.attempts / requests,
            calls=calls / requests,
            messages=messages / requests,
            bytes=size / requests,
            decision_us=out.decision_ns / NS_PER_US / requests,
            failer_share=self._failer_share(),
            killed=sum(upstream.crashes for upstream in self.upstreams.values()),
        )

    def _durations(self, entries: list[tuple[float, float]]) -> list[float]:
        return [
            duration_ms
            for arrived_ms, duration_ms in entries
            if WARM_UP_MS <= arrived_ms < self.end_ms
        ]

    def _ended_inside(self) -> int:
        return sum(
            WARM_UP_MS <= time_ms < self.end_ms for time_ms in self.outcomes.ended_ms
        )

    def _failer_share(self) -> float:
        start_ms = self.case.fast_failer_ms or self.case.slow_failer_ms
        if start_ms is None:
            return 0.0
        from_ms = start_ms + AFTER_FAULT_MS
        victim = self.upstreams[self._affected()[0]]
        touched = sum(from_ms <= time_ms < self.end_ms for time_ms in victim.touched_ms)
        asked = sum(request.arrival_ms >= from_ms for request in self.requests)
        return touched / max(1, asked)


def quantile(values: list[float], share: float) -> float:
    """
    Find a quantile.

    :param values: sorted values
    :param share: 0 to 1
    :return: the value, 0 when there is none
    """
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(share * len(values)))]


def run_plan(plan: Plan) -> RunResult:
    """
    Run a plan.

    :param plan: what to run
    :return: its figures
    """
    return Run(plan).execute()
