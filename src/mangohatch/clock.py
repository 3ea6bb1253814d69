"""Clocks with times in milliseconds."""

import time
from abc import ABC, abstractmethod

__all__ = ["Clock", "ManualClock", "SystemClock"]

NS_PER_MS = 1_000_000


class Clock(ABC):
    """Provides monotonic and wall-clock time, both in milliseconds."""

    @abstractmethod
    def now_ms(self) -> float:
        """
        Return the monotonic time.

        :return: milliseconds since an arbitrary origin; never decreases
        """

    @abstractmethod
    def wall_ms(self) -> float:
        """
        Return the wall-clock time.

        :return: milliseconds since the Unix epoch; may step in either direction
        """


class SystemClock(Clock):
    """The clock of the operating system."""

    def now_ms(self) -> float:
        return time.monotonic_ns() / NS_PER_MS

    def wall_ms(self) -> float:
        return time.time_ns() / NS_PER_MS


class ManualClock(Clock):
    """
    A clock that is advanced explicitly, for tests and benchmarks in virtual time.

    :param start_ms: initial monotonic time in milliseconds
    :param wall_offset_ms: wall-clock time minus monotonic time in milliseconds
    """

    def __init__(self, *, start_ms: float = 0.0, wall_offset_ms: float = 0.0) -> None:
        self._now_ms = start_ms
        self._wall_offset_ms = wall_offset_ms

    def now_ms(self) -> float:
        return self._now_ms

    def wall_ms(self) -> float:
        return self._now_ms + self._wall_offset_ms

    def advance(self, delta_ms: float) -> None:
        """
        Advance the clock.

        :param delta_ms: milliseconds to add, at least 0
        :raises ValueError: when the step is negative
        """
        if delta_ms < 0:
            raise ValueError(f"clock step of {delta_ms} ms is negative")
        self._now_ms += delta_ms

    def set(self, now_ms: float) -> None:
        """
        Advance the clock to a given time.

        :param now_ms: the new monotonic time in milliseconds, at least the current one
        :raises ValueError: when the time is before the current one
        """
        self.advance(now_ms - self._now_ms)
