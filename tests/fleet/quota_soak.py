"""Plays fleets whose client accounts have quotas, with troubles chosen by seed."""

import random
import sys
from typing import Any

from standins.simulated_fleet import QuotaVerdict
from standins.virtual_loop import VirtualLoop
from tests.fleet.soak import run_soak
from tests.fleet.test_quotas import MAX_REJECTED, MAX_REJECTED_IN_FAULTS, play

__all__ = ["draw", "find_faults"]

SIZES = (1, 13, 122)
SPANS_MS = {1: 24_000.0, 13: 60_000.0, 122: 30_000.0}
TROUBLES: tuple[dict[str, Any], ...] = (
    {},
    {"kills": True},
    {"partition": True},
    {"restarts_per_s": 0.3},
    {"partition": True, "restarts_per_s": 0.3},
)


def draw(seed: int) -> tuple[int, dict[str, Any]]:
    """
    Draw the size and the trouble of a seed.

    :param seed: the seed
    :return: number of hosts, and what happens to them
    """
    rng = random.Random(seed)
    hosts = rng.choice(SIZES)
    return hosts, rng.choice(TROUBLES) if hosts > 1 else {}


def find_faults(trouble: dict[str, Any], verdict: QuotaVerdict) -> list[str]:
    """
    List the bounds that were missed in a run.

    :param trouble: what happened to the hosts
    :param verdict: what the run showed
    :return: descriptions, none if all were met
    """
    faults = []
    if verdict.excess > 0.0:
        faults.append(f"{verdict.excess:.0f} requests above the bound in a window")
    # No bound is stated for hosts that are replaced all the time.
    if "restarts_per_s" not in trouble:
        most = MAX_REJECTED_IN_FAULTS if trouble else MAX_REJECTED
        if verdict.rejected > most:
            faults.append(f"{verdict.rejected:.4f} rejected below the quota")
    return faults


def run_seed(seed: int) -> tuple[int, tuple[int, dict[str, Any], QuotaVerdict]]:
    """
    Play one seed.

    :param seed: the seed
    :return: the seed, its draw and what its run showed
    """
    hosts, trouble = draw(seed)
    loop = VirtualLoop()
    try:
        verdict = play(loop, hosts=hosts, seed=seed, span_ms=SPANS_MS[hosts], **trouble)
    finally:
        loop.shutdown()
    return seed, (hosts, trouble, verdict)


def main() -> int:
    """
    Play some seeds and print what they show.

    :return: exit status, 1 if a bound was missed
    """
    return run_soak(
        description=str(__doc__),
        run_seed=run_seed,
        describe=lambda shown: f"{shown[0]} hosts, {shown[1]}, {shown[2]}",
        find_faults=lambda shown: find_faults(shown[1], shown[2]),
    )


if __name__ == "__main__":
    sys.exit(main())
