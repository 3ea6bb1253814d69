"""Speed of an upstream on a machine shared with other workloads."""

import bisect
import random

__all__ = ["SpeedProfile"]

INTERVAL_MIN_MS = 5.0
INTERVAL_MAX_MS = 50.0
SLOW_SHARE = 0.25
SLOW_FACTOR = 3.0
COLD_FACTOR = 5.0
COLD_RAMP_MS = 500.0


class SpeedProfile:
    """
    Piecewise constant speed over time, 1 when undisturbed.

    Whether another workload slows the upstream down is drawn for each interval.
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
            self._add_slow_intervals(rng, until_ms)
        if cold_from_ms is not None:
            self._apply_cold_start(cold_from_ms)
        self.cumulative_work = [0.0]
        for index in range(1, len(self.starts)):
            length_ms = self.starts[index] - self.starts[index - 1]
            self.cumulative_work.append(
                self.cumulative_work[-1] + length_ms * self.speeds[index - 1]
            )

    def _add_slow_intervals(self, rng: random.Random, until_ms: float) -> None:
        self.starts.clear()
        self.speeds.clear()
        time_ms = -rng.uniform(0.0, INTERVAL_MAX_MS)
        while time_ms < until_ms:
            slow = rng.random() < SLOW_SHARE
            self.starts.append(max(0.0, time_ms))
            self.speeds.append(1.0 / SLOW_FACTOR if slow else 1.0)
            time_ms += rng.uniform(INTERVAL_MIN_MS, INTERVAL_MAX_MS)
        while len(self.starts) > 1 and self.starts[1] == 0.0:
            del self.starts[0], self.speeds[0]

    def _apply_cold_start(self, cold_from_ms: float) -> None:
        end_ms = cold_from_ms + COLD_RAMP_MS
        self.speeds = [
            speed / COLD_FACTOR if cold_from_ms <= start < end_ms else speed
            for start, speed in zip(self.starts, self.speeds, strict=True)
        ]

    def speed_at(self, time_ms: float) -> float:
        """
        Return the speed at a time.

        :param time_ms: virtual time in milliseconds
        :return: work of one slot per unit of time
        """
        return self.speeds[bisect.bisect_right(self.starts, time_ms) - 1]

    def work_until(self, time_ms: float) -> float:
        """
        Integrate the speed from 0 to a time.

        :param time_ms: end of the integral in milliseconds
        :return: work of one slot, in milliseconds at speed 1
        """
        index = bisect.bisect_right(self.starts, time_ms) - 1
        return (
            self.cumulative_work[index]
            + (time_ms - self.starts[index]) * self.speeds[index]
        )

    def finish_ms(self, start_ms: float, work_ms: float) -> float:
        """
        Compute when work that starts at a time finishes.

        :param start_ms: start time in milliseconds
        :param work_ms: duration at speed 1 in milliseconds
        :return: finish time in milliseconds
        """
        target_work = self.work_until(start_ms) + work_ms
        index = bisect.bisect_right(self.cumulative_work, target_work) - 1
        return (
            self.starts[index]
            + (target_work - self.cumulative_work[index]) / self.speeds[index]
        )
