"""Targets of the live benchmark and their checks."""

from collections.abc import Iterator, Sequence

from bench.live.cases import Condition
from bench.live.run import CaseResult
from bench.virtual.targets import Check

__all__ = ["check_targets"]

SILENT_TAIL_BOUND = 2.0
INVARIANTS = ("lost", "doubled", "mixed", "false_not_run")


def check_targets(results: Sequence[CaseResult]) -> Iterator[Check]:
    """
    Check the results of all cases.

    :param results: results of each case
    :return: one check per invariant and case, and the p99 of silent connections
    """
    for result in results:
        for invariant in INVARIANTS:
            yield Check(
                site=result.site,
                name=f"{case_label(result)} {invariant}",
                value=getattr(result, invariant),
                bound=0.0,
            )
    calm = {
        (item.site, item.load): item
        for item in results
        if item.condition == Condition.CALM
    }
    for result in results:
        calm_result = calm.get((result.site, result.load))
        if result.condition == Condition.SILENT and calm_result is not None:
            yield Check(
                site=result.site,
                name=f"{case_label(result)} p99 to that of calm",
                value=result.p99_ms / max(calm_result.p99_ms, 1e-9),
                bound=SILENT_TAIL_BOUND,
            )


def case_label(result: CaseResult) -> str:
    """
    Return the name of a case within its site.

    :param result: results of the case
    :return: condition and load in percent
    """
    return f"{result.condition} {result.load * 100:.0f} %"
