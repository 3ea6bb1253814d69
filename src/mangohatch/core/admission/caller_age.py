"""Estimates how long callers have waited before an attempt reaches this host."""

from collections.abc import Hashable
from dataclasses import dataclass

__all__ = ["CallerAgeTable"]

WINDOW = 100  # requests of a group after which a change of callers' settings is known
# First attempts differ by up to a sixth, as callers choose and spend their time freely.
MAX_FIRST_SPREAD = 0.2
MAX_GROUPS = 1_000


@dataclass(slots=True, kw_only=True)
class AllowedTimes:
    """
    The longest times that callers of a group stated, in milliseconds.

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

    First attempts state the time that callers allow in all, and later ones what is left
    of it. A request whose caller allows much less than the longest time stated counts
    as repeated, and its age is the difference. Callers that allow less from the start
    are taken for older than they are. The estimate is therefore for groups of requests
    whose callers allow about the same time.
    """

    def __init__(self) -> None:
        self._groups: dict[Hashable, AllowedTimes] = {}

    def estimate_ms(self, group: Hashable, allowed_ms: float) -> float:
        """
        Record a request and estimate its age.

        :param group: identifies requests whose callers allow about the same time
        :param allowed_ms: milliseconds that the caller still allows
        :return: milliseconds since the first attempt of the request, 0 if it may be the
            first one
        """
        times = self._groups.get(group)
        if times is None:
            self._evict_oldest()
            times = self._groups[group] = AllowedTimes()
        longest_ms = times.add(allowed_ms)
        if allowed_ms >= (1.0 - MAX_FIRST_SPREAD) * longest_ms:
            return 0.0
        return longest_ms - allowed_ms

    def _evict_oldest(self) -> None:
        if len(self._groups) >= MAX_GROUPS:
            del self._groups[next(iter(self._groups))]
