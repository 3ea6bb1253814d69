"""Leave to send a request a second time."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

from mangohatch.clock import Clock
from mangohatch.core.call import Call

__all__ = ["FleetRetryBudget", "LocalRetryBudget", "RetryBudget"]

RETRIES_PER_REQUEST = 0.1
RETRIES_PER_SECOND = 1.0
MAX_STORED_RETRIES = 10.0
MS_PER_SECOND = 1000.0
BUDGET_SHARE = 0.9  # hosts count the ends of a window a little differently
MIN_HOSTS = 20  # more than the sites of today have


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
        capacity: float = MAX_STORED_RETRIES,
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


class FleetRetryBudget(RetryBudget):
    """
    This host's part of a budget that all hosts keep together.

    In any window a service gets at most ``ratio`` of its requests, and ``slack``
    more, as repeated attempts. The requests are counted where they arrive, and the
    slack is divided by the number of hosts, so the sum holds without a message. A
    host that hears few others divides by ``MIN_HOSTS``.

    :param clock: source of time
    :param ratio: share of requests that may be repeated
    :param slack: repeats in a window beyond that share
    :param window_ms: length of the window
    :param count_hosts: number of hosts that this one hears, itself included
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ratio: float,
        slack: float,
        window_ms: float,
        count_hosts: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._window_ms = window_ms
        self._count_hosts = count_hosts
        self._hosts = MIN_HOSTS
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}
        self.set_bounds(ratio=ratio, slack=slack)

    def earn(self, call: Call) -> None:
        self._count(self._requests, call.service).append(self._clock.now_ms())

    def allow(self, call: Call) -> bool:
        # Hosts that fell silent may go on sending, so the count only grows.
        self._hosts = max(self._hosts, self._count_hosts())
        requests = len(self._count(self._requests, call.service))
        retries = self._count(self._retries, call.service)
        allowed = self._ratio * requests + self._slack / self._hosts
        if len(retries) + 1 > allowed:
            return False
        retries.append(self._clock.now_ms())
        return True

    def set_bounds(self, *, ratio: float, slack: float) -> None:
        """
        Change the bounds that all hosts keep together.

        :param ratio: share of requests that may be repeated
        :param slack: repeats in a window beyond that share
        """
        self._ratio = ratio * BUDGET_SHARE
        self._slack = slack * BUDGET_SHARE

    def _count(self, table: dict[str, deque[float]], service: str) -> deque[float]:
        times = table.setdefault(service, deque())
        oldest_ms = self._clock.now_ms() - self._window_ms
        while times and times[0] < oldest_ms:
            times.popleft()
        return times
