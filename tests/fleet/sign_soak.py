"""Plays upstreams that leave or ask for pauses, with troubles chosen by seed."""

import random
import sys

from standins.simulated_fleet import (
    FleetPlan,
    SignPlan,
    SignTraffic,
    SignVerdict,
    SimulatedFleet,
)
from standins.virtual_loop import VirtualLoop
from tests.fleet.soak import run_soak

__all__ = ["draw", "find_faults", "play"]

SIZES = ((1, 6), (13, 22), (17, 31))  # hosts and upstreams
PER_UPSTREAM_AT_CAPACITY = 11.0  # requests a second; a quarter of the time it is slow
SETTLE_MS = 4_000.0
RUN_MS = 12_000.0


def draw(seed: int) -> tuple[FleetPlan, SignPlan]:
    """
    Draw the fleet and the traffic of a seed.

    :param seed: the seed
    :return: both plans
    """
    rng = random.Random(seed)
    hosts, upstreams = rng.choice(SIZES)
    fleet = FleetPlan(
        hosts=hosts,
        upstreams=upstreams,
        services=("desk",),
        seed=seed,
        loss=rng.choice((0.0, 0.01, 0.1)),
    )
    pause_ms = rng.choice((300.0, 1_000.0, 2_000.0, 5_000.0))
    traffic = SignPlan(
        seed=seed,
        requests_per_s=upstreams * PER_UPSTREAM_AT_CAPACITY * rng.choice((0.3, 0.9)),
        leaving_per_s=rng.choice((0.0, 0.3, 1.0)),
        paused_share=rng.choice((0.0, 0.33, 1.0)),
        pause_ms=pause_ms,
        trouble_ms=pause_ms * rng.choice((0.5, 1.0, 2.0)),
        hosts_replaced_per_s=rng.choice((0.0, 0.5)) if hosts > 1 else 0.0,
        lapses_per_s=rng.choice((0.0, 1.0)),
        burst=rng.choice((1.0, 3.0)),
        store_away=rng.choice((False, True)),
    )
    return fleet, traffic


def play(plan: FleetPlan, traffic: SignPlan, *, span_ms: float = RUN_MS) -> SignVerdict:
    """
    Run a fleet whose upstreams give signs.

    :param plan: the fleet
    :param traffic: the requests and the signs
    :param span_ms: virtual time of the traffic in milliseconds
    :return: what the run showed
    """
    loop = VirtualLoop()
    try:
        fleet = SimulatedFleet(plan=plan, loop=loop)
        fleet.run(SETTLE_MS)
        return SignTraffic(fleet=fleet, plan=traffic).run(span_ms)
    finally:
        loop.shutdown()


def find_faults(verdict: SignVerdict) -> list[str]:
    """
    List the signs that were not obeyed in a run.

    :param verdict: what the run showed
    :return: descriptions, none if all signs were obeyed
    """
    faults = []
    if verdict.to_leaving:
        faults.append(f"{verdict.to_leaving} requests to upstreams that leave")
    if verdict.in_pauses:
        faults.append(f"{verdict.in_pauses} requests too many in pauses")
    return faults


def run_seed(seed: int) -> tuple[int, SignVerdict]:
    """
    Play one seed.

    :param seed: the seed
    :return: the seed and what its run showed
    """
    return seed, play(*draw(seed))


def describe(verdict: SignVerdict) -> str:
    """
    Describe what a run showed.

    :param verdict: what it showed
    :return: the description
    """
    return (
        f"{verdict.left} left, {verdict.pauses} pauses; served {verdict.served} of"
        f" {verdict.requests}, {verdict.in_time} in time, {verdict.late_refusals}"
        " refused late"
    )


def main() -> int:
    """
    Play some seeds and print what they show.

    :return: exit status, 1 if a sign was not obeyed
    """
    return run_soak(
        description=str(__doc__),
        run_seed=run_seed,
        describe=describe,
        find_faults=find_faults,
    )


if __name__ == "__main__":
    sys.exit(main())
