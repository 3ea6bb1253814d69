"""Plays evacuations of zones, with troubles chosen by seed."""

import random
import sys

from standins.simulated_fleet import (
    EvacuationPlan,
    EvacuationTraffic,
    EvacuationVerdict,
    FleetPlan,
    SimulatedFleet,
)
from standins.virtual_loop import VirtualLoop
from tests.fleet.soak import run_soak

__all__ = ["draw", "find_faults", "play"]

SIZES = ((1, 6), (13, 22), (126, 175), (311, 240))  # hosts and upstreams
CI_SIZES = SIZES[:2]
PER_UPSTREAM = 3.0  # requests a second; a quarter of the capacity, in two zones a half
MAX_REQUESTS_PER_S = 150.0
SETTLE_MS = 4_000.0
RUN_MS = 9_000.0


def draw(
    seed: int, sizes: tuple[tuple[int, int], ...] = SIZES
) -> tuple[FleetPlan, EvacuationPlan]:
    """
    Draw the fleet and the evacuations of a seed.

    :param seed: the seed
    :param sizes: numbers of hosts and upstreams to choose from
    :return: both plans
    """
    rng = random.Random(seed)
    hosts, upstreams = rng.choice(sizes)
    fleet = FleetPlan(
        hosts=hosts,
        upstreams=upstreams,
        services=("desk",),
        seed=seed,
        loss=rng.choice((0.0, 0.01, 0.05)),
        evacuations=True,
    )
    traffic = EvacuationPlan(
        seed=seed,
        requests_per_s=min(upstreams * PER_UPSTREAM, MAX_REQUESTS_PER_S),
        evacuations_per_s=rng.choice((0.3, 1.0)),
        evacuated_ms=rng.choice((1_500.0, 4_000.0)),
        zones=rng.choice((1, 2, 4)),
        flaps_per_s=rng.choice((0.0, 0.0, 10.0)),
        cut_share=rng.choice((0.0, 0.5)) if hosts > 1 else 0.0,
        hosts_replaced_per_s=rng.choice((0.0, 0.5)) if hosts > 1 else 0.0,
        store_away=rng.choice((False, True)),
    )
    return fleet, traffic


def play(
    plan: FleetPlan, traffic: EvacuationPlan, *, span_ms: float = RUN_MS
) -> EvacuationVerdict:
    """
    Run a fleet some of whose zones are evacuated.

    :param plan: the fleet
    :param traffic: the requests and the evacuations
    :param span_ms: virtual time of the traffic in milliseconds
    :return: what the run showed
    """
    loop = VirtualLoop()
    try:
        fleet = SimulatedFleet(plan=plan, loop=loop)
        fleet.run(SETTLE_MS)
        return EvacuationTraffic(fleet=fleet, plan=traffic).run(span_ms)
    finally:
        loop.shutdown()


def find_faults(verdict: EvacuationVerdict) -> list[str]:
    """
    List the evacuations that were not obeyed in a run.

    :param verdict: what the run showed
    :return: descriptions, none if all were obeyed
    """
    faults = []
    if verdict.to_evacuated:
        faults.append(f"{verdict.to_evacuated} requests to evacuated zones")
    if verdict.to_evacuated_cut:
        faults.append(f"{verdict.to_evacuated_cut} of hosts without the store")
    if verdict.late_refusals:
        faults.append(f"{verdict.late_refusals} refusals late")
    return faults


def run_seed(seed: int) -> tuple[int, EvacuationVerdict]:
    """Play one seed."""
    return seed, play(*draw(seed))


def main() -> int:
    """Play some seeds and print what they show."""
    return run_soak(
        description=str(__doc__),
        run_seed=run_seed,
        describe=str,
        find_faults=find_faults,
    )


if __name__ == "__main__":
    sys.exit(main())
