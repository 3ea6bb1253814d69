"""The interface between routing and the health of upstreams."""

from abc import ABC, abstractmethod

from mangohatch.core.call import Call, Report
from mangohatch.core.tables import UpstreamRow

__all__ = ["Health"]


class Health(ABC):
    """
    Evaluates upstreams by the results of attempts on them.

    Each host passes in the reports of its own attempts; the broker of a shard also
    passes in the reports of all other holders.
    """

    @abstractmethod
    def observe(self, row: UpstreamRow, report: Report, holder_id: str) -> None:
        """
        Record the result of an attempt.

        :param row: the upstream that the attempt was sent to
        :param report: result of the attempt
        :param holder_id: id of the entry host that made the attempt
        """

    @abstractmethod
    def eligible(self, row: UpstreamRow, call: Call | None) -> bool:
        """
        Return whether an upstream may receive new work.

        :param row: the upstream
        :param call: the call to route, None if a slot is leased ahead of a call
        :return: whether the upstream is eligible
        """

    @abstractmethod
    def capacity(self, row: UpstreamRow) -> float:
        """
        Return the share of its slots that an upstream may use.

        :param row: the upstream
        :return: 0 for none to 1 for all; a share above 0 allows at least one slot
        """

    @abstractmethod
    def tick(self) -> None:
        """Update states that depend on time: probation, slow start and expiry."""
