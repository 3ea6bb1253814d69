"""Time for which the loop of this host stood still."""

import math
from collections import deque

__all__ = ["LateTicks"]

EXPECTED_INTERVAL_MS = 50.0  # a host without requests ticks least often
KEPT_MS = 2_000.0  # longer than any attempt that asks


class LateTicks:
    """
    Measures by how much ticks were late, from their times alone.

    Designed for hosts whose processor is taken away for some hundred milliseconds, by
    load on their machine or by a pause. What arrived meanwhile is handled only after
    the tick that follows, so that a time-out would blame the other side.
    """

    def __init__(self) -> None:
        self._last_ms = math.inf
        self._delays: deque[tuple[float, float]] = deque()

    def record(self, now_ms: float) -> None:
        """
        Record a tick.

        :param now_ms: monotonic time in milliseconds
        """
        late_ms = now_ms - self._last_ms - EXPECTED_INTERVAL_MS
        self._last_ms = now_ms
        if late_ms > 0.0:
            self._delays.append((now_ms, late_ms))
        while self._delays and self._delays[0][0] < now_ms - KEPT_MS:
            self._delays.popleft()

    def since(self, start_ms: float) -> float:
        """
        Return by how much ticks were late since a time.

        :param start_ms: monotonic time in milliseconds
        :return: sum in milliseconds, without the part before ``start_ms``
        """
        return sum(
            min(late_ms, end_ms - start_ms)
            for end_ms, late_ms in self._delays
            if end_ms > start_ms
        )
