"""How long ago callers sent their requests for the first time."""

import math
from collections import deque

__all__ = ["CallerAges"]

KEPT = 64  # latest first requests of a route
FEWEST = 20  # before the patience of a route is known
LOW_SHARE = 0.1  # of first requests that may have less patience than counts as usual
CALM_MS = 3_000.0  # after a refusal; callers come back within their patience


class CallerAges:
    """
    Learns how old requests are when they reach this host.

    Answers overload: callers that were refused come back with less patience left, and
    what they get is late however fast it is, while the same work would serve a new
    caller in time. While nobody is refused, nearly all requests are first ones, and
    show how much patience callers of a route have at least. What has less left has
    come back, or was on its way for long. The age found is a lower bound.
    """

    def __init__(self) -> None:
        self._patiences: dict[str, deque[float]] = {}
        self._least: dict[str, float] = {}
        self._refused_ms = -math.inf

    def note_refusal(self, now_ms: float) -> None:
        """
        Take note that a caller was refused, who may come back.

        :param now_ms: monotonic time
        """
        self._refused_ms = now_ms

    def age_ms(self, route: str, patience_ms: float, now_ms: float) -> float:
        """
        Tell how old a request is, and learn from it.

        :param route: name of its route
        :param patience_ms: how long its caller waits from now on
        :param now_ms: monotonic time
        :return: milliseconds since its caller sent it first, at least
        """
        if now_ms - self._refused_ms > CALM_MS:
            self._learn(route, patience_ms)
        return max(0.0, self._least.get(route, 0.0) - patience_ms)

    def keep_only(self, routes: set[str]) -> None:
        """
        Forget routes that are gone.

        :param routes: names of those that remain
        """
        for route in self._patiences.keys() - routes:
            del self._patiences[route]
            self._least.pop(route, None)

    def _learn(self, route: str, patience_ms: float) -> None:
        latest = self._patiences.setdefault(route, deque(maxlen=KEPT))
        latest.append(patience_ms)
        if len(latest) >= FEWEST:
            self._least[route] = sorted(latest)[int(LOW_SHARE * len(latest))]
