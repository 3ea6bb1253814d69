"""Interface of the policies that find requests worth a second attempt."""

from abc import ABC, abstractmethod

from mangohatch.core.call import Call, Grant

__all__ = ["HedgePolicy", "NoHedges"]


class HedgePolicy(ABC):
    """Compares the first attempt of a request with a second one."""

    @abstractmethod
    def is_late(self, grant: Grant) -> bool:
        """
        Return whether an attempt is expected to be among the slowest.

        :param grant: an attempt of an idempotent request without a response so far
        :return: whether a second attempt is worth considering
        """

    @abstractmethod
    def is_sooner(self, grant: Grant, hedge: Call) -> bool:
        """
        Return whether a free upstream is expected to finish before the first attempt.

        :param grant: the first attempt
        :param hedge: the call of the second attempt, with the upstreams to avoid
        :return: whether a second attempt is expected to win
        """


class NoHedges(HedgePolicy):
    """Finds no request; for choosers that do not estimate completion times."""

    def is_late(self, grant: Grant) -> bool:
        return False

    def is_sooner(self, grant: Grant, hedge: Call) -> bool:
        return False
