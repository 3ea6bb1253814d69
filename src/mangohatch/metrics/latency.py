"""Quantiles of recent latencies, kept in HdrHistograms."""

from hdrh.histogram import HdrHistogram

__all__ = ["LatencyWindow"]

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_FIGURES = 2
WINDOW_MS = 30_000.0
US_PER_MS = 1000.0
PENDING_LIMIT = 1024


class LatencyWindow:
    """
    Latency quantiles over the current and the previous window, and overall totals.

    Recorded values are buffered in a list until :meth:`flush` runs, quantiles are
    read or the list is full, so that recording on the request path costs only a list
    append.

    :param now_ms: monotonic time in milliseconds, at which the first window starts
    """

    def __init__(self, *, now_ms: float) -> None:
        self._pending: list[float] = []
        self._current = make_histogram()
        self._previous = make_histogram()
        self._rotated_ms = now_ms
        self._count = 0
        self._sum_ms = 0.0

    def record(self, latency_ms: float) -> None:
        """
        Record a latency.

        :param latency_ms: latency in milliseconds, at least 0
        """
        self._pending.append(latency_ms)
        if len(self._pending) >= PENDING_LIMIT:
            self._move_pending()

    def flush(self, now_ms: float) -> None:
        """
        Move buffered values into the histogram, and start a new window when due.

        :param now_ms: monotonic time in milliseconds
        """
        self._move_pending()
        if now_ms - self._rotated_ms >= WINDOW_MS:
            self._rotated_ms = now_ms
            self._previous, self._current = self._current, self._previous
            self._current.reset()

    @property
    def count(self) -> int:
        """Number of latencies recorded since the start."""
        return self._count + len(self._pending)

    @property
    def sum_ms(self) -> float:
        """Sum of all latencies since the start, in milliseconds."""
        return self._sum_ms + sum(self._pending)

    def quantiles_ms(self, levels: tuple[float, ...]) -> dict[float, float]:
        """
        Return quantiles over the current and the previous window.

        :param levels: quantile levels between 0 and 1
        :return: latency in milliseconds by level, 0 when both windows are empty
        """
        self._move_pending()
        combined = make_histogram()
        combined.add(self._previous)
        combined.add(self._current)
        percents = [level * 100 for level in levels]
        values = combined.get_percentile_to_value_dict(percents)
        return {
            level: values.get(percent, 0) / US_PER_MS
            for level, percent in zip(levels, percents)
        }

    def _move_pending(self) -> None:
        pending = self._pending
        if not pending:
            return
        record = self._current.record_value
        for latency_ms in pending:
            record(min(HIGHEST_US, max(LOWEST_US, round(latency_ms * US_PER_MS))))
        self._count += len(pending)
        self._sum_ms += sum(pending)
        pending.clear()


def make_histogram() -> HdrHistogram:
    """
    Make an empty histogram from 1 µs to 1 hour.

    :return: a histogram of microseconds
    """
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES)
