"""Results of one run."""

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.virtual.run import Run

__all__ = ["WARM_UP_MS", "Plan", "RunResult", "Summary"]

WARM_UP_MS = 500.0
AFTER_FAULT_MS = 1000.0
NS_PER_US = 1000.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Plan:
    """Parameters of a run; ``load`` is relative to the capacity."""

    site: str
    case: str
    load: float
    policy: str
    seed: int
    duration_ms: float


@dataclass(slots=True, kw_only=True)
class RunResult:
    """Results of one run. Shares range from 0 to 1; costs are per request."""

    plan: Plan
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

    def as_dict(self) -> dict:
        """
        Merge the results and the plan into one dictionary.

        :return: values by field name
        """
        flat = asdict(self)
        return flat.pop("plan") | flat


class Summary:
    """Computes the results of a finished run."""

    def __init__(self, *, run: "Run") -> None:
        self._run = run

    def result(self) -> RunResult:
        """
        Compute the results.

        :return: results for the window between warm-up and end
        """
        out = self._run.outcomes
        done = sorted(self._durations(out.done))
        refused = self._durations(out.refused)
        failed = self._durations(out.failed)
        total = max(1, len(done) + len(refused) + len(failed))
        expected = self._run.capacity_per_ms() * (self._run.end_ms - WARM_UP_MS)
        requests = max(1, out.requests)
        calls = sum(counter.calls for counter in self._run.counters)
        messages = sum(counter.messages for counter in self._run.counters)
        size = sum(
            counter.call_bytes + counter.message_bytes for counter in self._run.counters
        )
        return RunResult(
            plan=self._run.plan,
            p50_ms=quantile(done, 0.5),
            p99_ms=quantile(done, 0.99),
            p999_ms=quantile(done, 0.999),
            goodput=self._count_completed() / expected,
            refused=len(refused) / total,
            failed=len(failed) / total,
            refusal_max_ms=max(refused, default=0.0),
            doubled=sum(
                request.starts > 1
                for request in self._run.requests
                if not request.idempotent
            ),
            amplification=out.attempts / requests,
            calls=calls / requests,
            messages=messages / requests,
            bytes=size / requests,
            decision_us=out.decision_ns / NS_PER_US / requests,
            failer_share=self._failer_share(),
            killed=sum(upstream.crashes for upstream in self._run.upstreams.values()),
        )

    def _durations(self, entries: list[tuple[float, float]]) -> list[float]:
        return [
            duration_ms
            for arrived_ms, duration_ms in entries
            if WARM_UP_MS <= arrived_ms < self._run.end_ms
        ]

    def _count_completed(self) -> int:
        return sum(
            WARM_UP_MS <= time_ms < self._run.end_ms
            for time_ms in self._run.outcomes.ended_ms
        )

    def _failer_share(self) -> float:
        start_ms = self._run.case.fast_failer_ms or self._run.case.slow_failer_ms
        if start_ms is None:
            return 0.0
        from_ms = start_ms + AFTER_FAULT_MS
        victim = self._run.upstreams[self._run.affected_upstreams()[0]]
        victim_attempts = sum(
            from_ms <= time_ms < self._run.end_ms for time_ms in victim.arrival_times_ms
        )
        request_count = sum(
            request.arrival_ms >= from_ms for request in self._run.requests
        )
        return victim_attempts / max(1, request_count)


def quantile(values: list[float], share: float) -> float:
    """
    Return a quantile.

    :param values: values in ascending order
    :param share: quantile as a share, 0 to 1
    :return: the quantile, 0 if there are no values
    """
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(share * len(values)))]
