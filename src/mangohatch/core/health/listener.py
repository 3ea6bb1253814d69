"""The interface through which changes of health are reported."""

from abc import ABC, abstractmethod

from mangohatch.core.health.table import HealthRow
from mangohatch.core.tables import UpstreamRow

__all__ = ["HealthListener", "NoListener"]


class HealthListener(ABC):
    """Is notified of ejections, returns and draining upstreams."""

    @abstractmethod
    def on_ejected(self, row: HealthRow, *, duration_ms: float, cause: str) -> None:
        """
        Handle the ejection of an upstream.

        :param row: row of the upstream
        :param duration_ms: time until probation in milliseconds
        :param cause: the evidence for the ejection
        """

    @abstractmethod
    def on_returned(self, row: HealthRow) -> None:
        """
        Handle the return of an upstream that is healthy again.

        :param row: row of the upstream
        """

    @abstractmethod
    def on_replaced(self, upstream: UpstreamRow) -> None:
        """
        Handle a response by another process than the upstream.

        :param upstream: the upstream that was expected at the address
        """

    @abstractmethod
    def on_draining(self, upstream: UpstreamRow) -> None:
        """
        Handle a response that reports its upstream as draining.

        :param upstream: the upstream
        """


class NoListener(HealthListener):
    """Ignores all changes."""

    def on_ejected(self, row: HealthRow, *, duration_ms: float, cause: str) -> None:
        return None

    def on_returned(self, row: HealthRow) -> None:
        return None

    def on_replaced(self, upstream: UpstreamRow) -> None:
        return None

    def on_draining(self, upstream: UpstreamRow) -> None:
        return None
