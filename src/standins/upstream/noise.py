"""Slowdown of an upstream by noisy neighbours, reproducible by seed."""

import random
from collections import deque
from dataclasses import dataclass

__all__ = ["NoiseSchedule", "mean_speed"]

SEGMENT_MIN_MS = 5.0
SEGMENT_MAX_MS = 50.0
LEVELS = (0.0, 0.0, 0.5, 1.0)


def mean_speed(factor: float) -> float:
    """
    Compute the average speed of an upstream relative to one without neighbours.

    :param factor: maximum slowdown, at least 1
    :return: mean speed over time, between 0 and 1
    """
    speeds = [1.0 / (1.0 + level * (factor - 1.0)) for level in LEVELS]
    return sum(speeds) / len(speeds)


@dataclass(slots=True, kw_only=True, frozen=True)
class Segment:
    """
    A time span with a constant noise level.

    Level 0 stands for no slowdown, level 1 for the maximum slowdown.
    """

    end_ms: float
    level: float


class NoiseSchedule:
    """
    Piecewise constant slowdown over time.

    The schedule consists of noise levels between 0 and 1. The maximum slowdown is
    passed with each query, so it can change without changing the schedule.

    :param seed: seed of the random number generator
    :param start_ms: start of the schedule in milliseconds
    """

    def __init__(self, *, seed: int, start_ms: float) -> None:
        self._rng = random.Random(seed)
        self._end_ms = start_ms
        self._segments: deque[Segment] = deque()

    def finish_ms(self, start_ms: float, work_ms: float, factor: float) -> float:
        """
        Compute the time at which work ends.

        :param start_ms: start of the work in milliseconds; must not decrease from
            one call to the next
        :param work_ms: duration without slowdown in milliseconds
        :param factor: maximum slowdown, at least 1
        :return: end of the work in milliseconds
        """
        if factor == 1.0:
            return start_ms + work_ms
        self._discard_before(start_ms)
        now_ms = start_ms
        index = 0
        while True:
            segment = self._segment(index)
            slowdown = 1.0 + segment.level * (factor - 1.0)
            needed_ms = work_ms * slowdown
            if now_ms + needed_ms <= segment.end_ms:
                return now_ms + needed_ms
            work_ms -= (segment.end_ms - now_ms) / slowdown
            now_ms = segment.end_ms
            index += 1

    def _discard_before(self, before_ms: float) -> None:
        while self._segments and self._segments[0].end_ms <= before_ms:
            self._segments.popleft()
        while self._end_ms <= before_ms:
            self._extend()
            if self._end_ms <= before_ms:
                self._segments.clear()

    def _segment(self, index: int) -> Segment:
        while len(self._segments) <= index:
            self._extend()
        return self._segments[index]

    def _extend(self) -> None:
        self._end_ms += self._rng.uniform(SEGMENT_MIN_MS, SEGMENT_MAX_MS)
        level = self._rng.choice(LEVELS)
        self._segments.append(Segment(end_ms=self._end_ms, level=level))
