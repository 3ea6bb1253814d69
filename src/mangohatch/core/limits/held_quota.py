"""Permits that a host holds for the next requests of an account."""

from collections import deque

from mangohatch.core.accounts import Account

__all__ = ["HOLD_MS", "HeldQuota"]

HOLD_MS = 4_000.0  # from the question for a permit; an owner is lost for about 2 s
DEMAND_MS = 2_000.0  # a host holds as many permits as requests came in this time
ANSWER_MS = 200.0
MAX_QUESTIONS = 64  # whose answers are expected


class HeldQuota:
    """
    Permits of one account that this host may use without asking.

    The owner has taken them from its tokens, and counts them as part of what its bucket
    keeps, until they end or are reported as used; so they add nothing to the bound,
    also after a change of the owner.

    :param account: the account as of the time of the first permit
    """

    def __init__(self, *, account: Account) -> None:
        self.account = account
        self.used = 0
        self._permits: deque[float] = deque()
        self._requests: deque[float] = deque()
        self._questions: dict[int, tuple[float, int]] = {}

    def take(self, now_ms: float) -> bool:
        """
        Count a request, and use a permit for it if there is one.

        :param now_ms: monotonic time in milliseconds
        :return: whether there was a permit
        """
        self._requests.append(now_ms)
        while self._requests[0] < now_ms - DEMAND_MS:
            self._requests.popleft()
        return self.use(now_ms)

    def use(self, now_ms: float) -> bool:
        """
        Use a permit for a request that has been counted.

        :param now_ms: monotonic time in milliseconds
        :return: whether there was a permit
        """
        while self._permits and self._permits[0] < now_ms - HOLD_MS:
            self._permits.popleft()
        if not self._permits:
            return False
        self._permits.popleft()
        self.used += 1
        return True

    def ask(self, number: int, now_ms: float) -> int:
        """
        Return how many permits to ask for.

        :param number: number of the message
        :param now_ms: monotonic time in milliseconds
        :return: as many as requests came lately, without those held or asked for
        """
        expected = sum(
            count
            for asked_ms, count in self._questions.values()
            if now_ms - asked_ms < ANSWER_MS
        )
        wanted = max(0, len(self._requests) - len(self._permits) - expected)
        self._questions[number] = (now_ms, wanted)
        if len(self._questions) > MAX_QUESTIONS:
            del self._questions[next(iter(self._questions))]
        return wanted

    def report_used(self) -> int:
        """
        Return how many permits were used since the last report.

        :return: number of permits
        """
        used, self.used = self.used, 0
        return used

    def add(self, number: int, count: int) -> None:
        """
        Add permits of an answer, whose time counts from the message that asked.

        :param number: number of the message; an answer that is not expected adds none
        :param count: number of permits
        """
        asked_ms, _ = self._questions.pop(number, (None, 0))
        if asked_ms is not None:
            self._permits.extend([asked_ms] * count)
