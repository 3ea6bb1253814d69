"""Requests of one account that wait at this host for the owner of its quota."""

import math
from collections import deque

from mangohatch.core.accounts import Account
from mangohatch.core.limits.pending_permit import PendingPermit

__all__ = ["QuotaLine"]

# A round trip between zones plus two event loop iterations; then the message is sent
# again, as it or its answer may be lost.
ANSWER_MS = 25.0
REPEAT_FACTOR = 2.0
MAX_REPEAT_MS = 400.0
MAX_AGE_MS = 200.0  # of a message whose answer still permits something
MAX_SENT = 8  # messages whose answers are expected
# Time between two messages of a host that was refused, for each host of the fleet.
SPACING_MS = 4.0
MS_PER_S = 1000.0


class QuotaLine:
    """
    The waiting requests of an account, and the message that asks for the first one.

    Designed for accounts whose callers send many times their quota, and for owners
    that answer late. A host has one message for an account on its way, however many
    requests wait, so what waits at an owner is bounded by the number of hosts. A
    message for each request, repeated for each, would keep an owner that is late from
    ever catching up, and drown everything else that is sent to it.

    A refusal holds for all requests of the account, and for those that come before the
    next token is due. ``ready_ms`` is when an owner that has just started gives out
    permits.

    :param account: the account, replaced when its limits change
    """

    def __init__(self, *, account: Account) -> None:
        self.account = account
        self.number = 0  # of the message on its way, 0 for none
        self.ready_ms = -math.inf
        self._waiting: deque[PendingPermit] = deque()
        self._sent: dict[int, float] = {}
        self._repeat_ms = ANSWER_MS
        self._closed_until_ms = -math.inf
        self._promised_ms = -math.inf

    @property
    def waiting(self) -> bool:
        """Whether a request waits."""
        while self._waiting and self._waiting[0].ended:
            self._waiting.popleft()
        return bool(self._waiting)

    def add(self, item: PendingPermit) -> None:
        """
        Add a request at the end.

        :param item: the request
        """
        self._waiting.append(item)

    def take(self) -> PendingPermit:
        """
        Remove the first request; one must be waiting.

        :return: the request
        """
        assert self.waiting
        return self._waiting.popleft()

    def take_all(self) -> list[PendingPermit]:
        """
        Remove all requests.

        :return: those that have not ended, in their order
        """
        items = [item for item in self._waiting if not item.ended]
        self._waiting.clear()
        return items

    def record_sent(self, number: int, now_ms: float) -> float:
        """
        Record a message to the owner.

        :param number: its number
        :param now_ms: monotonic time in milliseconds
        :return: time in milliseconds after which it is sent again without an answer
        """
        self.number = number
        self._sent[number] = now_ms
        if len(self._sent) > MAX_SENT:
            del self._sent[next(iter(self._sent))]
        repeat_ms = self._repeat_ms
        self._repeat_ms = min(REPEAT_FACTOR * repeat_ms, MAX_REPEAT_MS)
        return repeat_ms

    def record_answer(self, number: int, now_ms: float) -> float | None:
        """
        Record an answer of the owner.

        :param number: number of the message that it answers
        :param now_ms: monotonic time in milliseconds
        :return: when the message was sent, None if the answer is late or not expected
        """
        sent_ms = self._sent.pop(number, None)
        if sent_ms is None:
            return None
        age_ms = now_ms - sent_ms
        self._repeat_ms = min(max(ANSWER_MS, REPEAT_FACTOR * age_ms), MAX_REPEAT_MS)
        if number == self.number:
            # Answers to repeated messages cause no further ones.
            self.number = 0
        return sent_ms if age_ms <= MAX_AGE_MS else None

    def close(self, wait_ms: float, *, hosts: int, now_ms: float) -> None:
        """
        Refuse further requests until a token may be due.

        :param wait_ms: time until the next token in milliseconds
        :param hosts: number of hosts that may ask for it
        :param now_ms: monotonic time in milliseconds
        """
        self._promised_ms = now_ms + wait_ms
        self._closed_until_ms = now_ms + min(wait_ms, SPACING_MS * hosts)

    def is_closed(self, now_ms: float) -> bool:
        """
        Return whether the owner would refuse a request.

        :param now_ms: monotonic time in milliseconds
        :return: True until the next token may be due
        """
        return now_ms < self._closed_until_ms

    def promise(self, now_ms: float, *, latest_ms: float) -> float:
        """
        Return when there will be a token for a request that is refused.

        :param now_ms: monotonic time in milliseconds
        :param latest_ms: longest time to name in milliseconds
        :return: time until then in milliseconds, another one for each request
        """
        wait_ms = max(0.0, self._promised_ms - now_ms)
        self._promised_ms = now_ms + min(
            wait_ms + MS_PER_S / self.account.per_s, max(wait_ms, latest_ms)
        )
        return wait_ms
