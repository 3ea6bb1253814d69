"""Detection of upstreams that fail or respond far slower than the others."""

import math
from statistics import median

from mangohatch.core.call import Report, Result
from mangohatch.core.health.settings import HealthSettings
from mangohatch.core.health.table import HealthRow, HealthState, HealthTable

__all__ = ["OutlierDetector"]

FAILURES = frozenset({Result.ERROR, Result.UNREACHABLE, Result.ABORTED, Result.TIMEOUT})
NO_EVIDENCE = frozenset({Result.CANCELLED, Result.REFUSED})
MIN_PEERS = 3
TYPICAL_AGE_MS = 50.0


class OutlierDetector:
    """Updates the evidence in a row and derives causes for ejection from it."""

    def __init__(self, *, cfg: HealthSettings, table: HealthTable) -> None:
        self._cfg = cfg
        self._table = table
        self._typical: dict[str, tuple[float, float | None]] = {}

    def update(self, row: HealthRow, report: Report, *, now_ms: float) -> None:
        """
        Update the evidence with the result of an attempt.

        :param row: row of the upstream
        :param report: result of the attempt
        :param now_ms: monotonic time in milliseconds
        """
        if report.result in NO_EVIDENCE:
            return
        if report.result is Result.SUPERSEDED:
            # The time until the other attempt won is a lower bound of the latency. It
            # shows that an upstream is slower than known, but not that it is faster.
            if 0.0 < row.latency_ms < report.latency_ms:
                self._update_latency(row, report.latency_ms, now_ms)
            return
        failed = report.result in FAILURES
        row.attempts += 1
        row.consecutive_failures = row.consecutive_failures + 1 if failed else 0
        row.failure_rate += self._cfg.failure_weight * (failed - row.failure_rate)
        if not failed or report.result is Result.TIMEOUT:
            self._update_latency(row, report.latency_ms, now_ms)

    def _update_latency(self, row: HealthRow, latency_ms: float, now_ms: float) -> None:
        age_ms = now_ms - row.latency_seen_ms
        row.latency_seen_ms = now_ms
        if row.latency_ms == 0.0:
            row.latency_ms = latency_ms
            return
        window_ms = self._cfg.latency_window_ms
        weight = 1.0 - math.exp(-max(age_ms, latency_ms) / window_ms)
        row.latency_ms += weight * (latency_ms - row.latency_ms)

    def find_cause(self, row: HealthRow, *, now_ms: float) -> str:
        """
        Find a cause for the ejection of an upstream.

        While advice of a peer that the upstream fails is valid, one failure suffices.

        :param row: row of the upstream
        :param now_ms: monotonic time in milliseconds
        :return: the cause, empty if there is none
        """
        cfg = self._cfg
        advised = now_ms < row.advised_until_ms
        limit = 1 if advised else cfg.consecutive_failures
        if row.consecutive_failures >= limit:
            return f"{row.consecutive_failures} consecutive failures"
        enough = row.attempts >= cfg.failure_rate_attempts
        if enough and row.failure_rate > cfg.failure_rate:
            return f"failure rate {row.failure_rate:.2f}"
        if self._is_slow(row, now_ms):
            return f"mean latency {row.latency_ms:.0f} ms"
        return ""

    def _is_slow(self, row: HealthRow, now_ms: float) -> bool:
        typical_ms = self._recent_typical_ms(row, now_ms)
        cfg = self._cfg
        if typical_ms is None:
            row.slow_since_ms = None
            return False
        if row.latency_ms > max(typical_ms * cfg.slow_ratio, cfg.slow_floor_ms):
            if row.slow_since_ms is None:
                row.slow_since_ms = now_ms
        elif row.latency_ms < typical_ms * cfg.slow_return_ratio:
            row.slow_since_ms = None
        if row.slow_since_ms is None:
            return False
        return now_ms - row.slow_since_ms >= cfg.slow_for_ms

    def _recent_typical_ms(self, row: HealthRow, now_ms: float) -> float | None:
        known = self._typical.get(row.service)
        if known is not None and now_ms - known[0] < TYPICAL_AGE_MS:
            return known[1]
        typical_ms = self.typical_latency_ms(row)
        self._typical[row.service] = (now_ms, typical_ms)
        return typical_ms

    def typical_latency_ms(self, row: HealthRow) -> float | None:
        """
        Compute the median of the mean latencies of the other healthy upstreams.

        :param row: row of the upstream to compare
        :return: milliseconds, None if fewer than :data:`MIN_PEERS` others have one
        """
        others = [
            other.latency_ms
            for other in self._table.used(row.service)
            if other is not row
            and other.latency_ms > 0.0
            and other.state is HealthState.HEALTHY
        ]
        return median(others) if len(others) >= MIN_PEERS else None
