"""Estimates how long callers have waited before an attempt reaches this host."""

from dataclasses import dataclass

__all__ = ["CallerAgeTable"]

WINDOW = 100  # requests of a route after which a change of callers' settings is known


@dataclass(slots=True, kw_only=True)
class AllowedTimes:
    """
    The longest times that callers of a route stated, in milliseconds.

    ``current_ms`` is the longest one of the window that is being filled, and
    ``previous_ms`` that of the window before it.
    """

    current_ms: float = 0.0
    previous_ms: float = 0.0
    count: int = 0

    def add(self, allowed_ms: float) -> float:
        """
        Record a request.

        :param allowed_ms: milliseconds that its caller still allows
        :return: the longest time of at least the last ``WINDOW`` requests
        """
        if self.count == WINDOW:
            self.previous_ms, self.current_ms = self.current_ms, 0.0
            self.count = 0
        self.count += 1
        self.current_ms = max(self.current_ms, allowed_ms)
        return max(self.current_ms, self.previous_ms)


class CallerAgeTable:
    """
    Estimates the age of requests from the time that their callers still allow.

    Designed for callers that return all at once, after an outage of all hosts or after
    rejections. Then more requests arrive than upstreams can run for some seconds, and
    those whose objective has passed would delay those that can still be in time.

    First attempts of a route state the time that callers allow in all, and later ones
    what is left of it, so the age is the difference to the longest time stated.
    Callers that allow less from the start are taken for older than they are. The
    estimate is therefore for routes whose callers all allow the same time.
    """

    def __init__(self) -> None:
        self._routes: dict[str, AllowedTimes] = {}

    def estimate_ms(self, route: str, allowed_ms: float) -> float:
        """
        Record a request and estimate its age.

        :param route: name of the route
        :param allowed_ms: milliseconds that the caller still allows
        :return: milliseconds since the first attempt of the request, 0 if unknown
        """
        times = self._routes.get(route)
        if times is None:
            times = self._routes[route] = AllowedTimes()
        return times.add(allowed_ms) - allowed_ms

    def retain(self, routes: set[str]) -> None:
        """
        Forget routes that are gone.

        :param routes: names of the routes in force
        """
        for name in self._routes.keys() - routes:
            del self._routes[name]
