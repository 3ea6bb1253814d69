"""Hedges, moves and neither, under noisy neighbours, in virtual time."""

import argparse
import math
import random

from bench.virtual.loop import EventLoop, LoopTimers
from bench.virtual.noisy import SLOTS, NoisyUpstream
from bench.virtual.noisy_host import SERVICE, TICK_MS, ZONE, NoisyHost, Request
from bench.virtual.noisy_plan import NoisyPlan, NoisyResult
from bench.virtual.noisy_probe import NoisyProbe, NoSigns, SoleOwner
from bench.virtual.result import quantile
from mangohatch.core.call import Call, Grant
from mangohatch.core.spec import DiscoveredService, DiscoveredUpstream
from mangohatch.core.tables import UpstreamRow
from mangohatch.probing import ProbingSystem

__all__ = ["NoisyRun"]

PEER_MS = 2.0
WARM_UP_MS = 5_000.0  # the period of the neighbours is found in about 3 s
COOL_DOWN_MS = 4_000.0
MAX_ATTEMPTS = 3


class NoisyRun:
    """
    One service on upstreams with noisy neighbours.

    :param plan: parameters
    """

    def __init__(self, plan: NoisyPlan) -> None:
        self.plan = plan
        self.loop = EventLoop()
        names = [f"u{index:03d}" for index in range(plan.upstreams)]
        self.spec = DiscoveredService(
            name=SERVICE,
            max_queue_wait_ms=500.0,
            health_path="/",
            upstreams=tuple(
                DiscoveredUpstream(
                    name=name,
                    address="127.0.0.1",
                    port=20_000 + index,
                    zone=ZONE,
                    slots=SLOTS,
                    connections=200,
                )
                for index, name in enumerate(names)
            ),
        )
        self.upstreams = {
            name: NoisyUpstream(
                loop=self.loop,
                rng=random.Random(f"{plan.seed}/upstream/{name}"),
                spread=plan.spread,
            )
            for name in names
        }
        self.hosts = [NoisyHost(run=self, index=index) for index in range(plan.hosts)]
        self.durations: list[float] = []
        self.sent_ms: list[tuple[float, int]] = []
        self.arrived_ms: list[tuple[float, int]] = []
        self._asked_ms = 0.0

    def tell(self, index: int, grant: Grant, *, started: bool) -> None:
        """
        Tell the other hosts of a request that began or ended.

        :param index: number of the host that sent the request
        :param grant: the grant
        :param started: whether it began
        """

        def receive() -> None:
            for host in self.hosts:
                if host.index == index:
                    continue
                load = host.rows[grant.upstream.name].load
                report = load.begin_at_peer if started else load.end_at_peer
                report(f"h{index}", grant.token, self.loop.now_ms)
                if not started:
                    host.router.serve(SERVICE)

        self.loop.after(PEER_MS, receive)

    def tell_waiting(self, index: int) -> None:
        """
        Tell the other hosts that calls wait on a host.

        :param index: number of the host
        """
        urgency = self.hosts[index].router.urgency(SERVICE)
        self.hosts[index].announced = urgency > 0.0
        for host in self.hosts:
            if host.index != index:
                self.loop.after(
                    PEER_MS,
                    host.contention.record_demand,
                    SERVICE,
                    f"h{index}",
                    urgency,
                )

    def record(self, request: Request) -> None:
        """
        Record a request that was answered.

        :param request: the request
        """
        if request.call.arrived_ms >= WARM_UP_MS:
            self.durations.append(self.loop.now_ms - request.call.arrived_ms)

    def add(self, row: UpstreamRow) -> None:
        """
        Tell the other hosts of a load report that the first host received.

        :param row: the upstream, with the report
        """
        load, measured_ms = row.load.load, row.load.measured_ms

        def receive() -> None:
            for host in self.hosts[1:]:
                host.estimator.observe(
                    host.rows[row.name],
                    load,
                    measured_ms=measured_ms,
                    seen_ms=self.loop.now_ms,
                )
                host.router.serve(SERVICE)

        self.loop.after(PEER_MS, receive)

    def _arrive(self, rng: random.Random) -> None:
        plan, now_ms = self.plan, self.loop.now_ms
        if now_ms >= WARM_UP_MS + plan.duration_ms:
            return
        mu = math.log(plan.mean_work_ms) - plan.sigma**2 / 2
        work_ms = rng.lognormvariate(mu, plan.sigma)
        host = rng.choice(self.hosts)
        call = Call(
            request_id=f"{now_ms}",
            service=SERVICE,
            arrived_ms=now_ms,
            deadline_ms=now_ms + plan.deadline_ms,
            objective_ms=now_ms + plan.objective_ms,
            idempotent=rng.random() >= plan.unsafe_share,
            max_attempts=MAX_ATTEMPTS,
        )
        self._asked_ms += work_ms
        if call.idempotent:
            self.arrived_ms.append((now_ms, host.index))
        host.arrive(call, work_ms)
        self.loop.after(rng.expovariate(plan.per_s / 1000.0), self._arrive, rng)

    def execute(self) -> NoisyResult:
        """
        Run to the end.

        :return: results; durations are those of requests after the warm-up
        """
        plan, rng = self.plan, random.Random(f"{self.plan.seed}/arrivals")
        first = self.hosts[0]
        ProbingSystem(
            clock=self.loop.clock,
            tables=first.tables,
            subset=SoleOwner(),
            probe=NoisyProbe(run=self),
            reports=self,
            timers=LoopTimers(loop=self.loop),
            estimator=first.estimator,
            on_load=first.router.serve,
            signs=NoSigns(),
        ).tick()
        for host in self.hosts:
            self.loop.after(rng.uniform(0.0, TICK_MS), host.tick)
        self.loop.after(1.0, self._arrive, rng)
        self.loop.run(WARM_UP_MS + plan.duration_ms + COOL_DOWN_MS)
        refused: dict[str, int] = {}
        for host in self.hosts:
            for cause, count in host.hedges.refused.items():
                refused[str(cause)] = refused.get(str(cause), 0) + count
        ordered = sorted(self.durations)
        return NoisyResult(
            p50_ms=quantile(ordered, 0.5),
            p99_ms=quantile(ordered, 0.99),
            answered=len(ordered),
            requests=sum(at_ms >= WARM_UP_MS for at_ms, _ in self.arrived_ms),
            work=sum(item.done_ms for item in self.upstreams.values()) / self._asked_ms,
            hedges=sum(host.hedges.sent for host in self.hosts),
            won=sum(host.hedges.won for host in self.hosts),
            moves=sum(host.moves for host in self.hosts),
            refused=refused,
            sent_ms=self.sent_ms,
            arrived_ms=self.arrived_ms,
        )


VARIANTS = {
    "placement only": dict(moves=False),
    "moves": dict(),
    "hedges by report": dict(moves=False, ratio=0.05),
    "moves and hedges by report": dict(ratio=0.05),
    "hedges after p90": dict(moves=False, ratio=0.05, after=0.9),
    "hedges after p95": dict(moves=False, ratio=0.05, after=0.95),
    "moves and hedges after p95": dict(ratio=0.05, after=0.95),
}


def main() -> None:
    """Print a row for each variant and seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--rate", type=float, default=NoisyPlan().per_s)
    parser.add_argument("--sigma", type=float, default=NoisyPlan().sigma)
    parser.add_argument("--spread", type=float, default=NoisyPlan().spread)
    parser.add_argument("--duration-ms", type=float, default=NoisyPlan().duration_ms)
    args = parser.parse_args()
    for seed in args.seeds:
        for name, fields in VARIANTS.items():
            plan = NoisyPlan(
                seed=seed,
                per_s=args.rate,
                sigma=args.sigma,
                spread=args.spread,
                duration_ms=args.duration_ms,
                **fields,
            )
            result = NoisyRun(plan).execute()
            print(
                f"seed {seed} {name:28} p50 {result.p50_ms:6.1f} p99"
                f" {result.p99_ms:6.1f} answered {result.answered}/{result.requests}"
                f" work {result.work:.3f} hedges {result.hedges} won {result.won}"
                f" moves {result.moves} refused {result.refused}",
                flush=True,
            )


if __name__ == "__main__":
    main()
