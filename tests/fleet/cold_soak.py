"""Plays upstreams that return cold by zones, with troubles chosen by seed."""

import random
import sys

from standins.simulated_fleet import (
    ColdPlan,
    ColdTraffic,
    ColdVerdict,
    FleetPlan,
    SimulatedFleet,
)
from standins.virtual_loop import VirtualLoop
from tests.core.limits.cold_service import BOUNDS, WARM_UP
from tests.fleet.soak import run_soak

__all__ = ["draw", "find_faults", "make_plan", "play"]

SIZES = ((1, 8), (13, 22), (126, 103), (311, 206))  # hosts and upstreams
PER_UPSTREAM_AT_CAPACITY = 11.0  # requests a second; a quarter of the time it is slow
SETTLE_MS = 4_000.0
RUN_MS = 12_000.0


def make_plan(hosts, upstreams, seed=1, loss=0.001):
    """Make a fleet whose cold upstreams are limited."""
    return FleetPlan(
        hosts=hosts,
        upstreams=upstreams,
        services=("desk",),
        seed=seed,
        loss=loss,
        warm_up=WARM_UP,
        cold=BOUNDS,
    )


def draw(seed: int) -> tuple[FleetPlan, ColdPlan]:
    """Draw the fleet and the traffic of a seed; each fourth seed has the same size."""
    rng = random.Random(seed)
    hosts, upstreams = SIZES[seed % len(SIZES)]
    plan = make_plan(hosts, upstreams, seed, rng.choice((0.0, 0.01, 0.1)))
    traffic = ColdPlan(
        seed=seed,
        requests_per_s=upstreams * PER_UPSTREAM_AT_CAPACITY * rng.choice((0.6, 1.2)),
        cold_ms=rng.choice((3_000.0, 5_000.0)),
        hosts_replaced_per_s=rng.choice((0.0, 0.5, 2.0)) if hosts > 1 else 0.0,
        hosts_paused_per_s=rng.choice((0.0, 1.0, 3.0)),
        partitioned=hosts > 1 and rng.choice((False, True)),
    )
    return plan, traffic


def play(plan: FleetPlan, traffic: ColdPlan, *, span_ms: float = RUN_MS) -> ColdVerdict:
    """Run a fleet whose upstreams become cold."""
    loop = VirtualLoop()
    try:
        fleet = SimulatedFleet(plan=plan, loop=loop)
        fleet.run(SETTLE_MS)
        return ColdTraffic(fleet=fleet, plan=traffic).run(span_ms)
    finally:
        loop.shutdown()


def find_faults(verdict: ColdVerdict) -> list[str]:
    """List how the bound was broken in a run."""
    if not verdict.beyond:
        return []
    return [f"{verdict.beyond} requests beyond the bound, {verdict.most} in a second"]


def run_seed(seed: int) -> tuple[int, ColdVerdict]:
    """Play one seed."""
    return seed, play(*draw(seed))


def describe(verdict: ColdVerdict) -> str:
    """Describe what a run showed."""
    return (
        f"at most {verdict.most} in a second, {verdict.used:.2f} of the rate used;"
        f" {verdict.failed} of {verdict.requests} failed"
    )


def main() -> int:
    """Play some seeds and print what they show."""
    return run_soak(
        description=str(__doc__),
        run_seed=run_seed,
        describe=describe,
        find_faults=find_faults,
    )


if __name__ == "__main__":
    sys.exit(main())
