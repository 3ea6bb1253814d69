"""Plays crashing requests on simulated fleets, with troubles chosen by seed."""

import random
import sys

from standins.simulated_fleet import (
    COPY_VARIANTS,
    CrashPlan,
    CrashTraffic,
    CrashVerdict,
    FleetPlan,
    SimulatedFleet,
)
from standins.virtual_loop import VirtualLoop
from tests.fleet.soak import run_soak

__all__ = ["draw", "find_faults", "play"]

SIZES = ((1, 5), (13, 22), (17, 31), (17, 31))  # hosts and upstreams
INNOCENT_PER_UPSTREAM = (0.6, 2.5, 4.0)  # requests a second
SETTLE_MS = 4_000.0
RUN_MS = 12_000.0
MAX_SENDS_AFTER_THIRD = 3  # the users' bound, over all hosts
MAX_REFUSAL_MS = 2_000.0  # a pause, the wait for the next copy, and one trial


def draw(seed: int) -> tuple[FleetPlan, CrashPlan]:
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
    variant = rng.choice(sorted(COPY_VARIANTS))
    traffic = CrashPlan(
        seed=seed,
        variant=variant,
        copies_per_s=rng.choice((1.0, 4.0, 10.0, 30.0)),
        method=rng.choice(("GET", "POST")),
        body=rng.choice((b"", b"order" * 100)),
        innocent_per_s=upstreams * rng.choice(INNOCENT_PER_UPSTREAM),
        reset_share=rng.choice((0.0, 0.02, 0.2)),
        own_crashes_per_s=rng.choice((0.0, 0.0, 0.5, 2.0)),
        hosts_replaced_per_s=rng.choice((0.0, 0.3)) if hosts > 1 else 0.0,
        # Copies of other callers on a path that others use are not recognised.
        shares_path=rng.choice((False, True)) and variant != "other caller",
    )
    return fleet, traffic


def play(plan: FleetPlan, traffic: CrashPlan) -> CrashVerdict:
    """
    Run a fleet under copies of a crashing request.

    :param plan: the fleet
    :param traffic: the copies and the requests beside them
    :return: what the run showed
    """
    loop = VirtualLoop()
    try:
        fleet = SimulatedFleet(plan=plan, loop=loop)
        fleet.run(SETTLE_MS)
        return CrashTraffic(fleet=fleet, plan=traffic).run(RUN_MS)
    finally:
        loop.shutdown()


def find_faults(verdict: CrashVerdict) -> list[str]:
    """
    List the broken properties of a run.

    :param verdict: what the run showed
    :return: descriptions, none if all properties held
    """
    faults = []
    if verdict.sends_after_third > MAX_SENDS_AFTER_THIRD:
        faults.append(f"{verdict.sends_after_third} copies sent on too late")
    if verdict.longest_refusal_ms > MAX_REFUSAL_MS:
        faults.append(f"innocent refused for {verdict.longest_refusal_ms:.0f} ms")
    return faults


def run_seed(seed: int) -> tuple[int, CrashVerdict]:
    """
    Play one seed.

    :param seed: the seed
    :return: the seed and what its run showed
    """
    return seed, play(*draw(seed))


def describe(verdict: CrashVerdict) -> str:
    """
    Describe what a run showed.

    :param verdict: what it showed
    :return: the description
    """
    return (
        f"upstreams lost {verdict.crashes}, copies sent {verdict.sends} of"
        f" {verdict.copies}, innocent requests failed {verdict.innocent_failed} of"
        f" {verdict.innocent}, refused as crashing {verdict.refused} for"
        f" {verdict.longest_refusal_ms:.0f} ms at most, held for"
        f" {verdict.longest_hold_ms:.0f} ms; last copy sent"
        f" {verdict.contained_ms:.0f} ms after the first crash"
    )


def main() -> int:
    """
    Play some seeds and print what they show.

    :return: exit status, 1 if a property was broken
    """
    return run_soak(
        description=str(__doc__),
        run_seed=run_seed,
        describe=describe,
        find_faults=find_faults,
    )


if __name__ == "__main__":
    sys.exit(main())
