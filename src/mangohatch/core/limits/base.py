"""Interface through which placement keeps the limits that upstreams name."""

from abc import ABC, abstractmethod

from mangohatch.core.tables import UpstreamRow

__all__ = ["NoSendLimits", "SendLimits"]


class SendLimits(ABC):
    """Permits requests to upstreams that name a limit of requests a second."""

    @abstractmethod
    def may_send(self, row: UpstreamRow) -> bool:
        """
        Return whether a request may be sent to an upstream.

        :param row: the upstream
        :return: True unless it names a limit for which this host has no permit
        """

    @abstractmethod
    def take(self, row: UpstreamRow) -> None:
        """
        Count a request that is about to be sent.

        :param row: an upstream for which :meth:`may_send` returned True
        """

    @abstractmethod
    def request(self, service: str) -> None:
        """
        Ask for permits for the calls that wait, and again as long as calls wait.

        :param service: name of the service
        """

    @abstractmethod
    def expected_wait_ms(self, service: str) -> float:
        """
        Estimate how long this host waits for its fair share of permits.

        :param service: name of a service all of whose upstreams name a limit
        :return: milliseconds from one permit to the next, 0 without limits
        """

    @abstractmethod
    def observe(self, row: UpstreamRow, per_s: float) -> None:
        """
        Record the limit that a response names.

        :param row: the upstream of the response
        :param per_s: requests a second, infinite if it names none
        """

    def detect_pause(self) -> None:  # noqa: B027
        """Forget what may have changed while this process was paused."""


class NoSendLimits(SendLimits):
    """Permits all requests."""

    def may_send(self, row: UpstreamRow) -> bool:
        return True

    def take(self, row: UpstreamRow) -> None:
        return None

    def request(self, service: str) -> None:
        return None

    def expected_wait_ms(self, service: str) -> float:
        return 0.0

    def observe(self, row: UpstreamRow, per_s: float) -> None:
        return None
