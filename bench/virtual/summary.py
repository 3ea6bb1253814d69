"""Aggregation of results over seeds, and the result table."""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import fmean

from bench.virtual.result import RunResult

__all__ = ["Row", "make_rows", "print_table"]

HEADER = (
    f"{'case':12} {'load':>5} {'policy':16} {'p50':>6} {'p99':>7} {'p99.9':>7} "
    f"{'goodput':>7} {'refused':>7} {'failed':>7} {'doubled':>7} "
    f"{'calls':>6} {'msgs':>6} {'bytes':>6} {'us':>6}"
)


@dataclass(slots=True, kw_only=True)
class Row:
    """Means over seeds, except the fields in ``WORST``, which are maxima."""

    site: str
    case: str
    load: float
    policy: str
    seeds: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    goodput: float
    refused: float
    failed: float
    refusal_max_ms: float
    doubled: int
    amplification: float
    calls: float
    messages: float
    bytes: float
    decision_us: float
    failer_share: float
    killed: int


MEANS = (
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "goodput",
    "refused",
    "failed",
    "amplification",
    "calls",
    "messages",
    "bytes",
    "decision_us",
)
WORST = ("refusal_max_ms", "doubled", "failer_share", "killed")


def make_rows(results: Iterable[RunResult]) -> list[Row]:
    """
    Aggregate the seeds of each site, case, load and policy.

    :param results: results of single runs
    :return: rows in the order of first appearance
    """
    groups: dict[tuple, list[RunResult]] = {}
    for result in results:
        plan = result.plan
        key = (plan.site, plan.case, plan.load, plan.policy)
        groups.setdefault(key, []).append(result)
    return [make_row(key, group) for key, group in groups.items()]


def make_row(key: tuple, group: list[RunResult]) -> Row:
    """
    Aggregate one group.

    :param key: site, case, load and policy
    :param group: results, one per seed
    :return: the aggregated row
    """
    site, case, load, policy = key
    means = {name: fmean(getattr(item, name) for item in group) for name in MEANS}
    worst = {name: max(getattr(item, name) for item in group) for name in WORST}
    return Row(
        site=site,
        case=case,
        load=load,
        policy=policy,
        seeds=len(group),
        **means,
        **worst,
    )


def print_table(rows: list[Row], site: str) -> None:
    """
    Print the rows of one site.

    :param rows: rows of all sites
    :param site: name of the site
    """
    print(f"\n{site}: latencies in ms, calls, messages and bytes a request")
    print(HEADER)
    for row in sorted(
        (row for row in rows if row.site == site),
        key=lambda row: (row.case != "shifting", row.case, row.load),
    ):
        print(
            f"{row.case:12} {row.load:5.2f} {row.policy:16} {row.p50_ms:6.1f} "
            f"{row.p99_ms:7.1f} {row.p999_ms:7.1f} {row.goodput:7.3f} "
            f"{row.refused:7.4f} {row.failed:7.4f} {row.doubled:7d} "
            f"{row.calls:6.3f} {row.messages:6.3f} {row.bytes:6.0f} "
            f"{row.decision_us:6.1f}"
        )
