"""Limits second attempts to a share of the requests."""

from mangohatch.core.call import Call

__all__ = ["MAX_STORED_HEDGES", "HedgeShare"]

MAX_STORED_HEDGES = 2.0  # a neighbour slows down all slots of an upstream at once


class HedgeShare:
    """
    Token buckets that are fed by requests, one for each service.

    In any window, the hedges of a service are at most ``ratio`` times its requests that
    may be repeated, plus ``MAX_STORED_HEDGES``. Buckets start empty and do not fill
    with time, so that an idle or a restarted host has no more than this.

    :param ratio: hedges per request, 0 to 1; 0 for no hedges
    """

    def __init__(self, *, ratio: float) -> None:
        self.ratio = ratio
        self._tokens: dict[str, float] = {}

    def earn(self, call: Call) -> None:
        """
        Count a request.

        :param call: the call at its first attempt
        """
        tokens = self._tokens.get(call.service, 0.0) + self.ratio
        self._tokens[call.service] = min(MAX_STORED_HEDGES, tokens)

    def available(self, call: Call) -> bool:
        """
        Return whether the share permits a hedge.

        :param call: the call
        :return: whether :meth:`take` may be called
        """
        # The tolerance is for sums of ratios such as 0.1.
        return self._tokens.get(call.service, 0.0) >= 1.0 - 1e-9

    def take(self, call: Call) -> None:
        """
        Spend one hedge.

        :param call: the call
        """
        self._tokens[call.service] -= 1.0

    def give_back(self, call: Call) -> None:
        """
        Return a hedge that was not sent.

        :param call: the call
        """
        tokens = self._tokens.get(call.service, 0.0) + 1.0
        self._tokens[call.service] = min(MAX_STORED_HEDGES, tokens)
