"""Estimates how old the readings are that peers announce."""

import math
from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.peer.messages.directory import DirectoryMark

__all__ = ["ReadingAges"]

# A host whose messages are late notices it within 1.5 s. One that stood still seems
# late for as long as offsets from before that are remembered.
WINDOW_MS = 5_000.0


@dataclass(slots=True, kw_only=True)
class ClockOffset:
    """Smallest differences to the clock of a host in this window and the last one."""

    since_ms: float
    smallest_ms: float = math.inf
    earlier_ms: float = math.inf


class ReadingAges:
    """
    Estimates the age of readings with the time that their marks were on the way.

    The age in a mark is that at the time of sending. A mark also says when its reading
    began, on the clock of the host that made it. The difference to the clock of this
    host, less that age, is an offset between both clocks plus the time on the way. Its
    minimum over some seconds belongs to marks that came fast; those with more were
    delayed by the rest.

    :param clock: source of time
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._offsets: dict[int, ClockOffset] = {}

    def estimate_ms(self, mark: DirectoryMark) -> float:
        """
        Return the age of a reading, and learn from its mark.

        :param mark: a mark that has just arrived
        :return: age in milliseconds, at least that in the mark; no more than that if
            the mark does not name the host that made the reading
        """
        if not mark.origin:
            return float(mark.age_ms)
        now_ms = self._clock.now_ms()
        difference_ms = now_ms - mark.origin_ms
        offset = self._find(mark.origin, now_ms)
        offset.smallest_ms = min(offset.smallest_ms, difference_ms - mark.age_ms)
        return difference_ms - min(offset.smallest_ms, offset.earlier_ms)

    def _find(self, origin: int, now_ms: float) -> ClockOffset:
        offset = self._offsets.get(origin)
        if offset is None or now_ms - offset.since_ms > 2 * WINDOW_MS:
            self._forget(now_ms)
            offset = self._offsets[origin] = ClockOffset(since_ms=now_ms)
        elif now_ms - offset.since_ms > WINDOW_MS:
            offset.earlier_ms = offset.smallest_ms
            offset.smallest_ms = math.inf
            offset.since_ms = now_ms
        return offset

    def _forget(self, now_ms: float) -> None:
        self._offsets = {
            origin: offset
            for origin, offset in self._offsets.items()
            if now_ms - offset.since_ms <= 2 * WINDOW_MS
        }
