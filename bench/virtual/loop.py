"""Events in virtual time."""

import heapq
from collections.abc import Callable
from typing import Any

from mangohatch.clock import ManualClock
from mangohatch.core.timers import Timers

__all__ = ["EventLoop", "LoopTimers"]


class EventLoop:
    """Runs events in the order of their times; equal times in order of entry."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.now_ms = 0.0
        self._sequence = 0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []

    def at(self, time_ms: float, function: Callable[..., None], *args: Any) -> None:
        """
        Add an event.

        :param time_ms: when it happens
        :param function: what happens
        :param args: arguments of the function
        """
        self._sequence += 1
        heapq.heappush(self._events, (time_ms, self._sequence, function, args))

    def after(self, delay_ms: float, function: Callable[..., None], *args: Any) -> None:
        """
        Add an event relative to now.

        :param delay_ms: milliseconds from now
        :param function: what happens
        :param args: arguments of the function
        """
        self.at(self.now_ms + delay_ms, function, *args)

    def run(self, until_ms: float) -> None:
        """
        Run all events up to a time.

        :param until_ms: time of the last event to run
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
    """Timers of the core on the virtual loop."""

    def __init__(self, *, loop: EventLoop) -> None:
        self._loop = loop

    def call_later(self, delay_ms: float, function: Callable[[], None]) -> None:
        self._loop.after(delay_ms, function)
