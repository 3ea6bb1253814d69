"""Speed of an upstream that shares its machine."""

import bisect
import random

__all__ = ["SpeedLine"]

SHIFT_MIN_MS = 5.0
SHIFT_MAX_MS = 50.0
SLOW_SHARE = 0.25
SLOW_FACTOR = 3.0
COLD_FACTOR = 5.0
COLD_RAMP_MS = 500.0


class SpeedLine:
    """
    Speed over time, piecewise constant, 1 when nothing disturbs.

    A neighbour draws anew at the end of each interval whether it disturbs.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        shifting: bool,
        until_ms: float,
        cold_from_ms: float | None = None,
    ) -> None:
        self.starts = [0.0]
        self.speeds = [1.0]
        if shifting:
            self._shift(rng, until_ms)
        if cold_from_ms is not None:
            self._cool(cold_from_ms)
        self.sums = [0.0]
        for index in range(1, len(self.starts)):
            length_ms = self.starts[index] - self.starts[index - 1]
            self.sums.append(self.sums[-1] + length_ms * self.speeds[index - 1])

    def _shift(self, rng: random.Random, until_ms: float) -> None:
        self.starts.clear()
        self.speeds.clear()
        time_ms = -rng.uniform(0.0, SHIFT_MAX_MS)
        while time_ms < until_ms:
            slow = rng.random() < SLOW_SHARE
            self.starts.append(max(0.0, time_ms))
            self.speeds.append(1.0 / SLOW_FACTOR if slow else 1.0)
            time_ms += rng.uniform(SHIFT_MIN_MS, SHIFT_MAX_MS)
        while len(self.starts) > 1 and self.starts[1] == 0.0:
            del self.starts[0], self.speeds[0]

    def _cool(self, cold_from_ms: float) -> None:
        end_ms = cold_from_ms + COLD_RAMP_MS
        self.speeds = [
            speed / COLD_FACTOR if cold_from_ms <= start < end_ms else speed
            for start, speed in zip(self.starts, self.speeds, strict=True)
        ]

    def speed_at(self, time_ms: float) -> float:
        """
        Read the speed.

        :param time_ms: when
        :return: work per time
        """
        return self.speeds[bisect.bisect_right(self.starts, time_ms) - 1]

    def work_until(self, time_ms: float) -> float:
        """
        Integrate the speed.

        :param time_ms: end of the integral, which starts at 0
        :return: work that one slot does
        """
        index = bisect.bisect_right(self.starts, time_ms) - 1
        return self.sums[index] + (time_ms - self.starts[index]) * self.speeds[index]

    def finish_ms(self, start_ms: float, work_ms: float) -> float:
        """
        Find when work that starts now is done.

        :param start_ms: when it starts
        :param work_ms: its duration at speed 1
        :return: when it ends
        """
        goal = self.work_until(start_ms) + work_ms
        index = bisect.bisect_right(self.sums, goal) - 1
        return self.starts[index] + (goal - self.sums[index]) / self.speeds[index]
