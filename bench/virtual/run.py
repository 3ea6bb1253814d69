"""Simulation of one plan: a site, a case, a load, a policy and a seed."""

import math
import random

from bench.virtual.bus import Fleet
from bench.virtual.host import Outcomes, VirtualHost
from bench.virtual.loop import EventLoop, LoopTimers
from bench.virtual.policies import POLICIES, PolicyContext
from bench.virtual.result import WARM_UP_MS, Plan, RunResult, Summary
from bench.virtual.sites import CASES, SITES, Case, Site
from bench.virtual.speed import SpeedProfile
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

__all__ = ["Plan", "Run", "RunResult", "run_plan"]

MEAN_WORK_MS = 10.0
WORK_SIGMA = 0.4
IDEMPOTENT_SHARE = 0.8
COOL_DOWN_MS = 1000.0
TICK_MS = 10.0
BURST_FACTOR = 2.0
BURST_MS = 200.0
CUSTOMERS = 4


class Run:
    """Simulation of one run with its hosts, upstreams and requests."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.site: Site = SITES[plan.site]
        self.case: Case = CASES[plan.case]
        self.loop = EventLoop()
        self.fleet = Fleet(loop=self.loop)
        self.end_ms = WARM_UP_MS + plan.duration_ms
        self.spec = self.site.make_spec()
        self.upstreams = {
            spec.name: self._make_upstream(spec) for spec in self._upstream_specs()
        }
        self.outcomes = Outcomes()
        self.counters: list[MeasuringCounter] = []
        self.shared: dict = {}
        self.hosts: list[VirtualHost] = []
        buses = [
            self.fleet.join(f"h{index:02d}", self._zone_of(index))
            for index in range(self.site.hosts)
        ]
        for index, bus in enumerate(buses):
            self.hosts.append(self._make_host(index, bus))

    def _zone_of(self, index: int) -> str:
        return self.site.zones[index % len(self.site.zones)]

    def _upstream_specs(self):
        return self.spec.upstreams

    def _rng(self, *labels: object) -> random.Random:
        plan = self.plan
        return random.Random(f"{plan.seed}/{plan.site}/{labels}")

    def affected_upstreams(self) -> list[str]:
        """
        Return the upstreams that a fault affects.

        A fault of a single upstream affects the first of them.

        :return: names of one fifth of the upstreams, at least one
        """
        names = [spec.name for spec in self._upstream_specs()]
        return names[: max(1, len(names) // 5)]

    def _make_upstream(self, spec) -> FakeUpstream:
        case = self.case
        cold = case.cold_start_ms is not None and spec.name in self.affected_upstreams()
        speed_profile = SpeedProfile(
            rng=self._rng("speed", spec.name),
            shifting=case.shifting,
            until_ms=self.end_ms + COOL_DOWN_MS,
            cold_from_ms=case.cold_start_ms if cold else None,
        )
        loop = self.loop
        upstream = FakeUpstream(
            name=spec.name, slots=spec.slots, loop=loop, speed_profile=speed_profile
        )
        upstream.misreports_load = (
            self._rng("lies", spec.name).random() < case.misreporting_share
        )
        return upstream

    def _make_host(self, index: int, bus) -> VirtualHost:
        loop = self.loop
        rng = self._rng("host", index)
        tables = Tables()
        tables.apply(self.spec, revision=1)
        if self.case.cold_start_ms is not None:
            rows = tables.services[self.spec.name].upstreams
            for name in self.affected_upstreams():
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
            zone=self._zone_of(index),
            loop=loop,
            fleet=self.fleet,
            router=self._make_gate(bus, rng, router),
            retries=LocalRetryBudget(clock=loop.clock),
            upstreams=self.upstreams,
            outcomes=self.outcomes,
            resend=self._resend,
        )

    def _make_gate(self, bus, rng: random.Random, router: Router) -> QuarantineGate:
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
        Compute the capacity of all slots between warm-up and end.

        :return: requests of mean work per millisecond
        """
        begin_ms, end_ms = WARM_UP_MS, self.end_ms
        work_ms = sum(
            upstream.slots
            * (
                upstream.speed_profile.work_until(end_ms)
                - upstream.speed_profile.work_until(begin_ms)
            )
            for upstream in self.upstreams.values()
        )
        return work_ms / MEAN_WORK_MS / (end_ms - begin_ms)

    def execute(self) -> RunResult:
        """
        Run the simulation to its end.

        :return: results of the run
        """
        self._add_arrivals()
        self._add_faults()
        for index, host in enumerate(self.hosts):
            self.loop.at(TICK_MS * index / len(self.hosts), self._tick, host)
        self.loop.run(self.end_ms + COOL_DOWN_MS)
        return Summary(run=self).result()

    def _tick(self, host: VirtualHost) -> None:
        host.router.tick()
        if self.loop.now_ms < self.end_ms + COOL_DOWN_MS:
            self.loop.after(TICK_MS, self._tick, host)

    def _add_arrivals(self) -> None:
        rng = self._rng("arrivals")
        rate = self.capacity_per_ms() * self.plan.load
        time_ms = 0.0
        self.requests: list[Request] = []
        mu = math.log(MEAN_WORK_MS) - WORK_SIGMA**2 / 2
        while True:
            time_ms += rng.expovariate(rate * self._burst_factor(time_ms))
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

    def _burst_factor(self, time_ms: float) -> float:
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
        victim = self.upstreams[self.affected_upstreams()[0]]
        if case.fast_failer_ms is not None:
            loop.at(case.fast_failer_ms, setattr, victim, "fails_fast", True)
        if case.slow_failer_ms is not None:
            loop.at(case.slow_failer_ms, setattr, victim, "fails_slowly", True)
        if case.crash_loop_ms is not None:
            loop.at(case.crash_loop_ms, victim.crash_in_loop)
        if case.drain_ms is not None:
            for name in self.affected_upstreams():
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


def run_plan(plan: Plan) -> RunResult:
    """
    Run a plan.

    :param plan: plan to run
    :return: results of the run
    """
    return Run(plan).execute()
