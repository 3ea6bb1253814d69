"""Permits that a host holds for one upstream."""

import math
from dataclasses import dataclass, field

from mangohatch.core.tables import UpstreamRow

__all__ = ["HeldPermits"]

MAX_ANSWER_MS = 500.0  # a later grant may be for a request long forgotten
# Bounds how many permits of a cold upstream can be on their way to one host.
MAX_COLD_ANSWER_MS = 200.0


@dataclass(slots=True, kw_only=True)
class HeldPermits:
    """
    Permits for one upstream, valid until a time, and when this host asked last.

    A host that was paused handles requests before the timers that return its permits.
    ``cold`` is whether they are for a cold upstream. ``asked_ms`` holds when the
    requests without an answer were sent, by their number.
    """

    row: UpstreamRow
    count: int = 0
    cold: bool = False
    until_ms: float = -math.inf
    requested_ms: float = -math.inf
    asked_ms: dict[int, float] = field(default_factory=dict)

    def is_usable(self, now_ms: float) -> bool:
        """
        Return whether there is a permit for a request.

        :param now_ms: monotonic time in milliseconds
        :return: whether a permit has not expired and is of the limit in force
        """
        if not self.count or self.cold != self.row.cold.cold:
            return False
        return now_ms <= self.until_ms

    def add(self, count: int, *, until_ms: float, now_ms: float) -> None:
        """
        Add permits, and drop those that could no longer be used.

        :param count: number of permits
        :param until_ms: monotonic time at which they expire in milliseconds
        :param now_ms: monotonic time in milliseconds
        """
        if not self.is_usable(now_ms):
            self.count = 0
        self.count += count
        self.cold = self.row.cold.cold
        self.until_ms = until_ms

    def ask(self, number: int, now_ms: float) -> None:
        """
        Record a request for a permit of a cold upstream.

        :param number: number of the request
        :param now_ms: monotonic time in milliseconds
        """
        oldest_ms = now_ms - MAX_COLD_ANSWER_MS
        self.asked_ms = {
            known: at_ms for known, at_ms in self.asked_ms.items() if at_ms >= oldest_ms
        }
        self.asked_ms[number] = now_ms

    def is_late(self, number: int | None, now_ms: float) -> bool:
        """
        Return whether an answer of an owner permits nothing; it is used up then.

        :param number: number of the request that it answers
        :param now_ms: monotonic time in milliseconds
        :return: whether it came too late, or again
        """
        if self.row.cold.cold:
            asked_ms = self.asked_ms.pop(number or 0, -math.inf)
            return now_ms - asked_ms > MAX_COLD_ANSWER_MS
        return now_ms - self.requested_ms > MAX_ANSWER_MS
