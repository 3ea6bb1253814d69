"""Budgets that limit retries of requests."""

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
BUDGET_SHARE = 0.9  # margin, as the windows of hosts do not end at the same time
MIN_HOSTS = 20  # more hosts than current sites have


class RetryBudget(ABC):
    """Limits the load that retries add to the load of first attempts."""

    @abstractmethod
    def earn(self, call: Call) -> None:
        """
        Count a first attempt.

        :param call: the call at its first attempt
        """

    @abstractmethod
    def allow(self, call: Call) -> bool:
        """
        Spend one retry, if the budget allows it.

        :param call: the call to retry
        :return: whether the call may be retried
        """


class LocalRetryBudget(RetryBudget):
    """A token bucket of one host, refilled by first attempts and at a constant rate."""

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
    This host's share of a retry budget common to all hosts.

    In any window, the retries of a service are at most ``ratio`` times its requests
    plus ``slack``. Each host counts the requests that it receives itself, and divides
    the slack by the number of hosts, so the total stays within the limit without
    messages between hosts. The number of hosts is taken to be at least ``MIN_HOSTS``.

    :param clock: source of time
    :param ratio: maximum ratio of retries to requests
    :param slack: retries per window in addition to ``ratio``, over all hosts
    :param window_ms: length of the window, in milliseconds
    :param count_hosts: returns the number of reachable hosts, this one included
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
        # Unreachable hosts may still send requests, so the count never decreases.
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
        Change the limits of the common budget.

        :param ratio: maximum ratio of retries to requests
        :param slack: retries per window in addition to ``ratio``, over all hosts
        """
        self._ratio = ratio * BUDGET_SHARE
        self._slack = slack * BUDGET_SHARE

    def _count(self, table: dict[str, deque[float]], service: str) -> deque[float]:
        times = table.setdefault(service, deque())
        oldest_ms = self._clock.now_ms() - self._window_ms
        while times and times[0] < oldest_ms:
            times.popleft()
        return times
