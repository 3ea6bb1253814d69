"""The interface through which changes of health are told."""

from abc import ABC, abstractmethod

from mangohatch.core.health.table import HealthRow
from mangohatch.core.tables import UpstreamRow

__all__ = ["HealthListener", "NoListener"]


class HealthListener(ABC):
    """Hears of ejections, returns and upstreams that leave."""

    @abstractmethod
    def on_ejected(self, row: HealthRow, *, duration_ms: float, cause: str) -> None:
        """
        An upstream was ejected.

        :param row: its row
        :param duration_ms: time until probation
        :param cause: the evidence
        """

    @abstractmethod
    def on_returned(self, row: HealthRow) -> None:
        """
        An upstream was trusted again.

        :param row: its row
        """

    @abstractmethod
    def on_draining(self, upstream: UpstreamRow) -> None:
        """
        An answer said that its upstream is draining.

        :param upstream: the upstream
        """


class NoListener(HealthListener):
    """Ignores all changes."""

    def on_ejected(self, row: HealthRow, *, duration_ms: float, cause: str) -> None:
        return None

    def on_returned(self, row: HealthRow) -> None:
        return None

    def on_draining(self, upstream: UpstreamRow) -> None:
        return None
