"""Interface through which the decision core schedules delayed calls."""

from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["NoTimers", "Timers"]


class Timers(ABC):
    """Calls functions after a delay; a scheduled call cannot be cancelled."""

    @abstractmethod
    def call_later(self, delay_ms: float, function: Callable[[], None]) -> None:
        """
        Call a function once.

        :param delay_ms: delay in milliseconds
        :param function: function to call, without arguments
        """


class NoTimers(Timers):
    """Ignores all calls; delayed work waits for the next tick."""

    def call_later(self, delay_ms: float, function: Callable[[], None]) -> None:
        return None
