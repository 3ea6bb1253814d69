"""Latencies of the recent past in HdrHistograms."""

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
    Quantiles over the current window and the one before; totals since the start.

    Values wait in a list until they are read or :meth:`flush` runs, so that the
    request path pays for an append only.
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

        :param latency_ms: at least 0
        """
        self._pending.append(latency_ms)
        if len(self._pending) >= PENDING_LIMIT:
            self._move_pending()

    def flush(self, now_ms: float) -> None:
        """
        Move waiting values into the histogram; begin a new window when it is time.

        :param now_ms: monotonic time
        """
        self._move_pending()
        if now_ms - self._rotated_ms >= WINDOW_MS:
            self._rotated_ms = now_ms
            self._previous, self._current = self._current, self._previous
            self._current.reset()

    @property
    def count(self) -> int:
        """Latencies recorded since the start."""
        return self._count + len(self._pending)

    @property
    def sum_ms(self) -> float:
        """Sum of all latencies since the start."""
        return self._sum_ms + sum(self._pending)

    def quantiles_ms(self, levels: tuple[float, ...]) -> dict[float, float]:
        """
        Read quantiles over the last two windows.

        :param levels: between 0 and 1
        :return: latency by share, 0 where nothing was recorded
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

    :return: the histogram
    """
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES)
