"""What a seed does to a fleet of host processes."""

import random
from dataclasses import dataclass

__all__ = ["Plan", "make_plan"]

TROUBLES = ("stop", "kill", "term", "ignore", "away", "remove", "rewind")


@dataclass(slots=True, kw_only=True, frozen=True)
class Plan:
    """
    Size, load and troubles of a run.

    With ``rewind`` the store comes back from a copy ``rewind_s`` old, and names its era
    if it ``tells_era``. ``troubles`` are drawn one after the other, ``trouble_gap_s``
    apart; those of several hosts overlap. ``burst`` changes follow each other within a
    second. With ``accounts`` requests need keys, which the operator withdraws and adds.
    """

    hosts: int
    upstreams: int
    seconds: float
    per_s: float
    work_s: float
    work_spread: float
    troubles: tuple[str, ...]
    trouble_gap_s: float
    burst: int
    change_gap_s: float
    replace_gap_s: float
    rewind_s: float
    tells_era: bool
    accounts: bool = False


def make_plan(seed: int, *, hosts: int, seconds: float) -> Plan:
    """
    Draw a plan.

    :param seed: number of the run
    :param hosts: number of hosts
    :param seconds: length of the run in seconds
    :return: the plan
    """
    rng = random.Random(seed)
    count = rng.randint(0, 3)
    return Plan(
        hosts=hosts,
        upstreams=24,
        seconds=seconds,
        per_s=rng.choice((60.0, 100.0)),
        work_s=rng.choice((0.05, 0.12)),
        work_spread=0.3,
        troubles=tuple(rng.sample(TROUBLES, count)),
        trouble_gap_s=rng.choice((1.0, 3.0)),
        burst=rng.choice((1, 1, 5, 10)),
        change_gap_s=rng.choice((0.5, 1.5, 3.0)),
        replace_gap_s=rng.choice((0.3, 0.8)),
        rewind_s=rng.choice((1.0, 5.0, 20.0)),
        tells_era=rng.random() < 0.5,
        accounts=rng.random() < 0.5,
    )
