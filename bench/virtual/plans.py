"""Plans of the virtual-time benchmark."""

from collections.abc import Iterator
from dataclasses import dataclass

from bench.virtual.policies import POLICIES
from bench.virtual.run import Plan
from bench.virtual.sites import CASES, SITES

__all__ = ["FULL", "QUICK", "Extent", "make_plans"]

SHIFTING = "shifting"
LOADS = (0.5, 0.7, 0.85, 0.95, 1.2)
CASE_LOADS = (0.7, 0.85)
CASE_POLICIES = ("least-in-flight", "power-of-two", "probing", "tokens", "oracle")
CASE_MS = 2_500.0
QUICK_POLICIES = ("least-in-flight", "power-of-two", "probing", "tokens", "oracle")


@dataclass(slots=True, kw_only=True, frozen=True)
class Extent:
    """Seeds, loads, policies and cases of an invocation."""

    seeds: tuple[int, ...]
    loads: tuple[float, ...]
    policies: tuple[str, ...]
    cases: tuple[str, ...]
    case_loads: tuple[float, ...]
    case_seeds: tuple[int, ...]
    duration_ms: float


FULL = Extent(
    seeds=(1, 2, 3, 4, 5),
    loads=LOADS,
    policies=tuple(POLICIES),
    cases=tuple(name for name in CASES if name != SHIFTING),
    case_loads=CASE_LOADS,
    case_seeds=(1, 2),
    duration_ms=1_500.0,
)

QUICK = Extent(
    seeds=(1,),
    loads=(0.7, 0.85, 1.2),
    policies=QUICK_POLICIES,
    cases=("fast-failer", "killer"),
    case_loads=(0.7,),
    case_seeds=(1,),
    duration_ms=800.0,
)


def make_plans(extent: Extent) -> Iterator[Plan]:
    """
    List the plans of an extent.

    :param extent: seeds, loads, policies and cases to cover
    :return: plans, grouped by site
    """
    for site in SITES:
        for seed in extent.seeds:
            for load in extent.loads:
                for policy in extent.policies:
                    yield Plan(
                        site=site,
                        case=SHIFTING,
                        load=load,
                        policy=policy,
                        seed=seed,
                        duration_ms=extent.duration_ms,
                    )
        yield from make_case_plans(extent, site)


def make_case_plans(extent: Extent, site: str) -> Iterator[Plan]:
    """
    List the plans of all cases other than ``shifting`` at one site.

    :param extent: seeds, loads, policies and cases to cover
    :param site: name of the site
    :return: plans, grouped by case
    """
    for case in extent.cases:
        for seed in extent.case_seeds:
            for load in extent.case_loads:
                for policy in CASE_POLICIES:
                    yield Plan(
                        site=site,
                        case=case,
                        load=load,
                        policy=policy,
                        seed=seed,
                        duration_ms=CASE_MS,
                    )
