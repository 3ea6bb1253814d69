"""Checks the results that callers saw against the runs that upstreams counted."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from standins.caller.record import Attempt, AttemptResult, Record

__all__ = ["Costs", "Verdict", "evaluate", "percentile"]

MAX_CRASHES_PER_REQUEST = 3


@dataclass(slots=True, kw_only=True, frozen=True)
class Costs:
    """Calls and bytes spent on measuring and calls to the platform's object API."""

    measuring_calls: float = 0.0
    measuring_bytes: float = 0.0
    store_calls: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Verdict:
    """Counts of violated guarantees and the costs of a run."""

    requests: int
    lost: int
    doubled: int
    mixed: int
    false_not_run: int
    truncated: int
    worked_after_drain: int
    crashes_per_request: int
    unknown: int
    not_run: int
    resends: int
    p50_ms: float
    p99_ms: float
    measuring_calls_per_request: float
    measuring_bytes_per_request: float
    store_calls_per_request: float

    @property
    def passed(self) -> bool:
        """Whether there were requests and no guarantee was violated."""
        violations = (
            self.lost,
            self.doubled,
            self.mixed,
            self.false_not_run,
            self.truncated,
            self.worked_after_drain,
        )
        crashes_limited = self.crashes_per_request <= MAX_CRASHES_PER_REQUEST
        return self.requests > 0 and not any(violations) and crashes_limited


def percentile(values: Sequence[float], share: float) -> float:
    """
    Compute a percentile by the nearest-rank method.

    :param values: numbers in any order
    :param share: rank of the percentile as a fraction between 0 and 1
    :return: the percentile, 0 without values
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[rank]


def is_lost(record: Record) -> bool:
    """
    Return whether a request counts as lost.

    :param record: the caller's record of the request
    :return: True when an attempt got no reply within its deadline, or an idempotent
        request that does not crash upstreams got no complete response
    """
    silent = any(item.result is AttemptResult.SILENT for item in record.attempts)
    unanswered = record.result is not AttemptResult.DONE
    answerable = not record.request.crashes_upstream
    return silent or (record.request.kind.idempotent and unanswered and answerable)


def is_false_not_run(attempt: Attempt, runs: Sequence[str]) -> bool:
    """
    Return whether an attempt was reported as not run although an upstream ran it.

    :param attempt: the attempt with the result reported to the caller
    :param runs: numbers of the attempts of this request that upstreams ran
    :return: whether the reported result is false
    """
    reported = attempt.result is AttemptResult.NOT_RUN
    return reported and str(attempt.number) in runs


def evaluate(
    records: Sequence[Record],
    ledgers: Sequence[Mapping],
    *,
    costs: Costs = Costs(),
    worked_after_drain: int = 0,
) -> Verdict:
    """
    Compare the results that callers saw with the runs that upstreams counted.

    :param records: records of all requests
    :param ledgers: JSON documents from ``/runs``, one for each upstream
    :param costs: calls and bytes that entry hosts spent on measuring, and calls to
        the object API
    :param worked_after_drain: number of runs on upstreams that were drained and
        should not have received new work
    :return: the verdict
    """
    runs = collect_runs(ledgers)
    results = Counter(item.result for record in records for item in record.attempts)
    final_results = Counter(record.result for record in records)
    doubled = [
        record
        for record in records
        if not record.request.kind.idempotent
        and len(runs.get(record.request.request_id, ())) > 1
    ]
    false_not_run = [
        attempt
        for record in records
        for attempt in record.attempts
        if is_false_not_run(attempt, runs.get(record.request.request_id, ()))
    ]
    latencies = [
        record.latency_ms
        for record in records
        if record.result is AttemptResult.DONE and not record.request.download_bytes
    ]
    crashes = [
        len(runs.get(record.request.request_id, ()))
        for record in records
        if record.request.crashes_upstream
    ]
    calls = sum(ledger["measuring_calls"] for ledger in ledgers)
    size = sum(ledger["measuring_bytes"] for ledger in ledgers)
    count = max(1, len(records))
    return Verdict(
        requests=len(records),
        lost=sum(map(is_lost, records)),
        doubled=len(doubled),
        mixed=results[AttemptResult.MIXED],
        false_not_run=len(false_not_run),
        truncated=results[AttemptResult.TRUNCATED],
        worked_after_drain=worked_after_drain,
        crashes_per_request=max(crashes, default=0),
        unknown=final_results[AttemptResult.UNKNOWN]
        + final_results[AttemptResult.BROKEN],
        not_run=final_results[AttemptResult.NOT_RUN],
        resends=sum(len(record.attempts) - 1 for record in records),
        p50_ms=round(percentile(latencies, 0.5), 2),
        p99_ms=round(percentile(latencies, 0.99), 2),
        measuring_calls_per_request=round((calls + costs.measuring_calls) / count, 4),
        measuring_bytes_per_request=round((size + costs.measuring_bytes) / count, 2),
        store_calls_per_request=round(costs.store_calls / count, 4),
    )


def collect_runs(ledgers: Sequence[Mapping]) -> dict[str, list[str]]:
    """
    Merge the runs counted by all upstreams.

    :param ledgers: JSON documents from ``/runs``, one for each upstream
    :return: numbers of the attempts that were run, by request id
    """
    joined: dict[str, list[str]] = {}
    for ledger in ledgers:
        for request_id, run in ledger["runs"].items():
            joined.setdefault(request_id, []).extend(run["attempts"])
    return joined
