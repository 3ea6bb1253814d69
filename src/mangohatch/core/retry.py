"""Leave to send a request a second time."""

from abc import ABC, abstractmethod

from mangohatch.clock import Clock
from mangohatch.core.call import Call

__all__ = ["LocalRetryBudget", "RetryBudget"]

RETRIES_PER_REQUEST = 0.1
RETRIES_PER_SECOND = 1.0
MAX_SAVED_RETRIES = 10.0
MS_PER_SECOND = 1000.0


class RetryBudget(ABC):
    """Bounds the load that retries add to that of first attempts."""

    @abstractmethod
    def earn(self, call: Call) -> None:
        """
        Count a first attempt.

        :param call: the call at its first attempt
        """

    @abstractmethod
    def allow(self, call: Call) -> bool:
        """
        Ask for one retry and spend it.

        :param call: the call that would be sent again
        :return: whether it may be sent again
        """


class LocalRetryBudget(RetryBudget):
    """A token bucket of one host: a share of first attempts and a trickle."""

    def __init__(
        self,
        *,
        clock: Clock,
        per_request: float = RETRIES_PER_REQUEST,
        per_second: float = RETRIES_PER_SECOND,
        capacity: float = MAX_SAVED_RETRIES,
    ) -> None:
        self._clock = clock
        self._per_request = per_request
        self._per_second = per_second
        self._capacity = capacity
        self._tokens = capacity
        self._refilled_ms = clock.now_ms()

    def earn(self, call: Call) -> None:
        self._tokens = min(self._capacity, self._tokens + self._per_request)

    def allow(self, call: Call) -> bool:
        now_ms = self._clock.now_ms()
        elapsed_ms = now_ms - self._refilled_ms
        self._refilled_ms = now_ms
        earned = elapsed_ms / MS_PER_SECOND * self._per_second
        self._tokens = min(self._capacity, self._tokens + earned)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
