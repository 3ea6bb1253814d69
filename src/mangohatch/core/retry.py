"""Budgets that limit retries of requests."""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

from mangohatch.clock import Clock
from mangohatch.core.call import Call
from mangohatch.core.limits.retry_permits import RetryPermits

__all__ = ["FleetRetryBudget", "LocalRetryBudget", "RetryBudget"]

RETRIES_PER_REQUEST = 0.1
RETRIES_PER_SECOND = 1.0
MAX_STORED_RETRIES = 10.0
MS_PER_SECOND = 1000.0
BUDGET_SHARE = 0.9  # retries reach upstreams some time after they are counted


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
        Spend one retry from what this host holds, if the budget allows it.

        :param call: the call to retry
        :return: whether the call may be retried
        """

    def request(self, call: Call, deliver: Callable[[bool], None]) -> None:
        """
        Spend one retry, and ask other hosts for it if this host holds none.

        :param call: the call to retry
        :param deliver: called exactly once, with whether the call may be retried; soon,
            but maybe after the return of this method
        """
        deliver(self.allow(call))


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
    A retry budget common to all hosts.

    In any window, the retries of a service are at most ``ratio`` times its requests
    plus a slack. Each host counts the requests that it receives itself and may retry
    their share without messages. Retries beyond that need a permit from the slack,
    which one host gives out for all.

    :param clock: source of time
    :param ratio: maximum ratio of retries to requests
    :param window_ms: length of the window, in milliseconds
    :param permits: gives out the slack
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ratio: float,
        window_ms: float,
        permits: RetryPermits,
    ) -> None:
        self._clock = clock
        self._window_ms = window_ms
        self._permits = permits
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}
        self._ratio = ratio * BUDGET_SHARE

    def earn(self, call: Call) -> None:
        self._count(self._requests, call.service).append(self._clock.now_ms())

    def allow(self, call: Call) -> bool:
        requests = len(self._count(self._requests, call.service))
        retries = self._count(self._retries, call.service)
        if len(retries) + 1 > self._ratio * requests:
            return False
        retries.append(self._clock.now_ms())
        return True

    def request(self, call: Call, deliver: Callable[[bool], None]) -> None:
        if self.allow(call):
            deliver(True)
        else:
            self._permits.request(call.service, deliver)

    def set_bounds(self, *, ratio: float, slack: float) -> None:
        """
        Change the limits of the common budget.

        :param ratio: maximum ratio of retries to requests
        :param slack: retries per window in addition to ``ratio``, over all hosts
        """
        self._ratio = ratio * BUDGET_SHARE
        self._permits.set_slack(slack)

    def _count(self, table: dict[str, deque[float]], service: str) -> deque[float]:
        times = table.setdefault(service, deque())
        oldest_ms = self._clock.now_ms() - self._window_ms
        while times and times[0] < oldest_ms:
            times.popleft()
        return times
