"""Decides about each hedge, within the limits that operators and routes set."""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from mangohatch.core.call import Call, Grant
from mangohatch.core.hedging.base import HedgePolicy
from mangohatch.core.hedging.share import HedgeShare

__all__ = ["HedgeRefusal", "HedgeSystem"]


class HedgeRefusal(StrEnum):
    """Why a late request gets no second attempt; the values are metric labels."""

    LEAVING = "leaving"
    UNSAFE = "unsafe"
    BODY = "body"
    ATTEMPTS = "attempts"
    SUSPECTED = "suspected"
    WAITING = "waiting"
    NO_UPSTREAM = "no_upstream"
    SHARE = "share"
    BUDGET = "budget"


class HedgeSystem:
    """
    Applies all rules of second attempts but those of the attempt itself.

    Designed for a fleet with spare capacity and a few slow upstreams. Under overload it
    sends nothing: hedges compete with no waiting call of this host or of another one,
    and take no more than their share and what the retry budget has left.

    ``sent``, ``won`` and ``refused`` count hedges; ``refused`` counts a request once
    for each cause.

    :param policy: finds late attempts and compares them with a second one
    :param share: limits hedges to a share of the requests
    :param is_suspected: returns whether a request is suspected to crash upstreams
    :param has_waiting: returns whether calls of a service wait, on any host
    """

    def __init__(
        self,
        *,
        policy: HedgePolicy,
        share: HedgeShare,
        is_suspected: Callable[[Call], bool],
        has_waiting: Callable[[str], bool],
    ) -> None:
        self._policy = policy
        self._share = share
        self._is_suspected = is_suspected
        self._has_waiting = has_waiting
        self.leaving = False
        self.sent = 0
        self.won = 0
        self.refused: Counter[HedgeRefusal] = Counter()

    @property
    def enabled(self) -> bool:
        """Whether operators permit hedges."""
        return self._share.ratio > 0.0

    def set_ratio(self, ratio: float) -> None:
        """
        Change the share of the requests that may be hedged.

        :param ratio: 0 to 1; 0 for no hedges
        """
        self._share.ratio = ratio

    def earn(self, call: Call) -> None:
        """
        Count a request.

        :param call: the call at its first attempt
        """
        if self.enabled and call.idempotent:
            self._share.earn(call)

    def is_late(self, grant: Grant) -> bool:
        """
        Return whether a second attempt is worth considering.

        :param grant: an attempt without a response so far
        :return: whether the attempt is expected to be among the slowest
        """
        return self.enabled and self._policy.is_late(grant)

    def take(
        self, grant: Grant, hedge: Call, spend_retry: Callable[[], bool]
    ) -> HedgeRefusal | None:
        """
        Decide about a second attempt, and spend it if it is permitted.

        :param grant: the first attempt, which :meth:`is_late` found to be late
        :param hedge: the call of the second attempt
        :param spend_retry: takes one retry from the retry budget; returns whether the
            retry is permitted
        :return: why the attempt is refused, None if it is permitted
        """
        refusal = self._check(grant, hedge)
        if refusal is not None:
            return refusal
        # The retry budget comes first, because what it has spent can't be returned.
        if not spend_retry():
            return HedgeRefusal.BUDGET
        self._share.take(hedge)
        return None

    def _check(self, grant: Grant, hedge: Call) -> HedgeRefusal | None:
        if self.leaving:
            return HedgeRefusal.LEAVING
        if not hedge.idempotent:
            return HedgeRefusal.UNSAFE
        if hedge.attempt > hedge.max_attempts:
            return HedgeRefusal.ATTEMPTS
        if hedge.isolated or self._is_suspected(hedge):
            return HedgeRefusal.SUSPECTED
        if self._has_waiting(hedge.service):
            return HedgeRefusal.WAITING
        if not self._policy.is_sooner(grant, hedge):
            return HedgeRefusal.NO_UPSTREAM
        if not self._share.available(hedge):
            return HedgeRefusal.SHARE
        return None

    def give_back(self, hedge: Call) -> None:
        """
        Return a hedge that found no upstream after all.

        :param hedge: the call passed to :meth:`take`
        """
        self._share.give_back(hedge)
        self.refused[HedgeRefusal.NO_UPSTREAM] += 1
