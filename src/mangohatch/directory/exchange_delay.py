"""Detects that the messages of this host arrive late, from its exchanges of marks."""

import math
from collections import deque

from mangohatch.clock import Clock

__all__ = ["ExchangeDelay"]

MAX_ROUND_TRIP_MS = 500.0  # a tick at each end, and a slow link
DETECTION_MS = 1_500.0  # three exchanges
LONGEST_DELAY_MS = 10_000.0  # of an answer that is still told from a later one


class ExchangeDelay:
    """
    Compares the time at which exchanges begin with that of their answers.

    A host whose link is full sends its marks late, and a receiver takes an old reading
    for a young one. Only the sender can notice it: answers to its exchanges are late.
    An answer belongs to the oldest exchange with its sender, as it may be so late that
    another one has begun meanwhile.

    :param clock: source of time
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._unanswered: deque[tuple[str, float]] = deque()
        self._begun_ms = -math.inf
        self._in_time_ms = clock.now_ms()

    def begin(self, receiver: str) -> None:
        """
        Record that an exchange begins.

        :param receiver: id of the member
        """
        now_ms = self._clock.now_ms()
        while self._unanswered and now_ms - self._unanswered[0][1] > LONGEST_DELAY_MS:
            self._unanswered.popleft()
        if now_ms - self._begun_ms > DETECTION_MS:
            self._in_time_ms = now_ms
        self._begun_ms = now_ms
        self._unanswered.append((receiver, now_ms))

    def answered(self, sender: str) -> None:
        """
        Record the answer to an exchange.

        :param sender: id of the member
        """
        now_ms = self._clock.now_ms()
        for item in self._unanswered:
            receiver, begun_ms = item
            if receiver == sender:
                self._unanswered.remove(item)
                if now_ms - begun_ms <= MAX_ROUND_TRIP_MS:
                    self._in_time_ms = now_ms
                return

    @property
    def late(self) -> bool:
        """Whether exchanges have begun lately and none was answered in time."""
        now_ms = self._clock.now_ms()
        if now_ms - self._begun_ms > DETECTION_MS:
            return False
        return now_ms - self._in_time_ms > DETECTION_MS
