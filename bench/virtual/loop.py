"""Event loop in virtual time."""

import heapq
from collections.abc import Callable
from typing import Any

from mangohatch.clock import ManualClock
from mangohatch.core.timers import Timers

__all__ = ["EventLoop", "LoopTimers"]


class EventLoop:
    """Runs events in time order; events at equal times run in insertion order."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.now_ms = 0.0
        self._sequence = 0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []

    def at(self, time_ms: float, function: Callable[..., None], *args: Any) -> None:
        """
        Schedule a call at a time.

        :param time_ms: virtual time of the call in milliseconds
        :param function: function to call
        :param args: positional arguments of the function
        """
        self._sequence += 1
        heapq.heappush(self._events, (time_ms, self._sequence, function, args))

    def after(self, delay_ms: float, function: Callable[..., None], *args: Any) -> None:
        """
        Schedule a call after a delay.

        :param delay_ms: delay from the current virtual time in milliseconds
        :param function: function to call
        :param args: positional arguments of the function
        """
        self.at(self.now_ms + delay_ms, function, *args)

    def run(self, until_ms: float) -> None:
        """
        Run all events up to and including a time, and advance the clock to it.

        :param until_ms: virtual time to run to, in milliseconds
        """
        events = self._events
        while events and events[0][0] <= until_ms:
            time_ms, _, function, args = heapq.heappop(events)
            self.now_ms = time_ms
            self.clock.set(max(time_ms, self.clock.now_ms()))
            function(*args)
        self.now_ms = max(self.now_ms, until_ms)
        self.clock.set(self.now_ms)


class LoopTimers(Timers):
    """Core timers backed by the virtual event loop."""

    def __init__(self, *, loop: EventLoop) -> None:
        self._loop = loop

    def call_later(self, delay_ms: float, function: Callable[[], None]) -> None:
        self._loop.after(delay_ms, function)
