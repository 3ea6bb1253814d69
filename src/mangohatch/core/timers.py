"""The interface through which the core asks to be called later."""

from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["NoTimers", "Timers"]


class Timers(ABC):
    """Calls functions after a delay; a call cannot be taken back."""

    @abstractmethod
    def call_later(self, delay_ms: float, function: Callable[[], None]) -> None:
        """
        Call a function once.

        :param delay_ms: milliseconds from now
        :param function: takes nothing
        """


class NoTimers(Timers):
    """Never calls; what is due waits for the next tick."""

    def call_later(self, delay_ms: float, function: Callable[[], None]) -> None:
        return None
