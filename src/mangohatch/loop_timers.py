"""Timers on the asyncio event loop."""

import asyncio
from collections.abc import Callable

from mangohatch.core.timers import Timers

__all__ = ["LoopTimers"]

MS_PER_S = 1000.0


class LoopTimers(Timers):
    """Schedules calls on the running event loop."""

    def call_later(self, delay_ms: float, function: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(max(delay_ms, 0.0) / MS_PER_S, function)
