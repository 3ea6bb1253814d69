"""The interface between routing and the judgement of upstreams."""

from abc import ABC, abstractmethod

from mangohatch.core.call import Call, Report
from mangohatch.core.tables import UpstreamRow

__all__ = ["Health"]


class Health(ABC):
    """
    Judges upstreams by how attempts on them ended.

    Every host feeds it the reports of its own attempts; the broker of a service
    feeds it the reports of all holders as well.
    """

    @abstractmethod
    def observe(self, row: UpstreamRow, report: Report, holder_id: str) -> None:
        """
        Take note of an attempt that ended.

        :param row: the upstream that the attempt was sent to
        :param report: how the attempt went
        :param holder_id: id of the entry host that made the attempt
        """

    @abstractmethod
    def eligible(self, row: UpstreamRow, call: Call | None) -> bool:
        """
        Tell whether an upstream may be given new work.

        :param row: the upstream
        :param call: the call to place, None when a slot is leased ahead of demand
        :return: whether it may
        """

    @abstractmethod
    def capacity(self, row: UpstreamRow) -> float:
        """
        Tell which share of its slots an upstream may use.

        :param row: the upstream
        :return: 0 for none to 1 for all; at least one slot is used above 0
        """

    @abstractmethod
    def tick(self) -> None:
        """Let time pass: probation, slow start and expiry."""
