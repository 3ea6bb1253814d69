"""Queue of the waiting calls of one service on one host."""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from mangohatch.core.call import Call, Deliver

__all__ = ["WaitQueue", "WaitingCall", "max_wait_ms"]

INTERVAL_WEIGHT = 0.1
ISOLATED_WAIT_MS = 250.0
MAX_WAIT_SHARE = 0.5  # of the time that the caller allows; the rest is for another try
SHORT_WAIT_MS = 100.0  # callers lose little by a refusal that comes this early
MIN_RETRY_AFTER_MS = 150.0  # about the time of a request, after which slots are free
MAX_CUSTOMERS = 1_000
LATE_URGENCY = 0.1  # a late response has a tenth of the value of one in time


@dataclass(slots=True, kw_only=True, eq=False)
class WaitingCall:
    """A call that waits for an upstream until ``until_ms``, a monotonic time."""

    call: Call
    deliver: Deliver
    until_ms: float = 0.0


@dataclass(slots=True, kw_only=True)
class CustomerRow:
    """
    Number of a customer's waiting calls, and a count of its served calls.

    When a customer without waiting calls returns, its count of served calls is raised
    to the highest count that any customer had when it was last served. Customers
    therefore gain no precedence from the time in which they sent no calls.
    """

    waiting: int = 0
    served: int = 0


class WaitQueue:
    """
    Queue of waiting calls, in the order of service.

    Calls that can still be in time come first. Further criteria are the priority of
    the account, that of the route, least-served customer and earliest deadline, in
    this order.

    Under overload, a queue in order of arrival would make every call late. Calls that
    can no longer be in time therefore wait behind those that can.

    When a new call would wait too long, the customer with the most waiting calls
    loses its newest one; where calls of less urgent accounts wait, one of these.
    """

    def __init__(self, *, spec: Any) -> None:
        self.spec = spec
        self._calls: dict[int, WaitingCall] = {}
        self._customers: dict[str, CustomerRow] = {}
        self._served_baseline = 0
        self._service_interval_ms = 0.0
        self._last_served_ms = 0.0
        self._first_expiry_ms = math.inf
        self._urgency = 0.0
        self._urgency_until_ms = -math.inf

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, waiting: WaitingCall) -> bool:
        return id(waiting.call) in self._calls

    def offer(
        self, waiting: WaitingCall, now_ms: float, interval_ms: float = 0.0
    ) -> WaitingCall | None:
        """
        Queue a call, unless it would wait too long.

        A call that is not expected to be served in time waits for ``SHORT_WAIT_MS`` at
        most, and takes what others leave.

        :param waiting: the call
        :param now_ms: monotonic time, in milliseconds
        :param interval_ms: known time between two calls that are served, in
            milliseconds; 0 when unknown
        :return: the call to refuse, this or a queued one; None for no refusal
        """
        call = waiting.call
        allowed_ms = max_wait_ms(self.spec, call, now_ms)
        if (len(self._calls) + 1) * interval_ms > allowed_ms:
            allowed_ms = min(allowed_ms, SHORT_WAIT_MS)
        if allowed_ms <= 0:
            return waiting
        dropped = None
        if not call.isolated and self.estimate_wait_ms() > allowed_ms:
            dropped = self._find_call_to_drop(call)
            if dropped is None:
                return waiting
            self.take(dropped)
        waiting.until_ms = now_ms + allowed_ms
        if not self._calls:
            self._last_served_ms = now_ms
        self._calls[id(call)] = waiting
        self._first_expiry_ms = min(self._first_expiry_ms, waiting.until_ms)
        self._urgency_until_ms = -math.inf
        self._count_waiting_call(call.customer)
        return dropped

    def estimate_wait_ms(self) -> float:
        """
        Estimate the wait of a call that is queued now.

        :return: milliseconds to serve the queue and the new call at the recent rate
        """
        return (
            (len(self._calls) + 1) * self._service_interval_ms if self._calls else 0.0
        )

    def retry_after_ms(self) -> float:
        """
        Estimate after which time a refused call may be accepted.

        :return: milliseconds to serve the current queue, at least the minimum
        """
        return max(MIN_RETRY_AFTER_MS, self.estimate_wait_ms())

    def urgency(self, now_ms: float) -> float:
        """
        Return the urgency of the waiting calls.

        :param now_ms: monotonic time, in milliseconds
        :return: sum over the calls, 1 for a call that can still be in time and
            ``LATE_URGENCY`` for any other
        """
        if now_ms > self._urgency_until_ms:
            starts_ms = [item.call.start_by_ms for item in self._calls.values()]
            in_time_ms = [start_ms for start_ms in starts_ms if start_ms >= now_ms]
            late = len(starts_ms) - len(in_time_ms)
            self._urgency = len(in_time_ms) + LATE_URGENCY * late
            self._urgency_until_ms = min(in_time_ms, default=math.inf)
        return self._urgency

    def ordered(self, now_ms: float) -> Sequence[WaitingCall]:
        """
        List the calls in the order of service.

        :param now_ms: monotonic time, in milliseconds
        :return: all waiting calls
        """
        calls = list(self._calls.values())
        if len(calls) > 1:
            calls.sort(key=lambda waiting: self._rank(waiting, now_ms))
        return calls

    def serve(self, waiting: WaitingCall, now_ms: float) -> None:
        """
        Remove a call that got an upstream, and count it as served.

        :param waiting: the call
        :param now_ms: monotonic time, in milliseconds
        """
        interval_ms = now_ms - self._last_served_ms
        self._service_interval_ms += INTERVAL_WEIGHT * (
            interval_ms - self._service_interval_ms
        )
        self._last_served_ms = now_ms
        row = self._customers[waiting.call.customer]
        self._served_baseline = max(self._served_baseline, row.served)
        row.served += 1
        self.take(waiting)

    def take(self, waiting: WaitingCall) -> None:
        """
        Remove a call without counting it as served.

        :param waiting: the call
        """
        if self._calls.pop(id(waiting.call), None) is not None:
            self._customers[waiting.call.customer].waiting -= 1
            self._urgency_until_ms = -math.inf

    def remove(self, call: Call) -> None:
        """
        Remove a cancelled call, if it still waits.

        :param call: the call
        """
        waiting = self._calls.get(id(call))
        if waiting is not None:
            self.take(waiting)

    def expire(self, now_ms: float) -> list[WaitingCall]:
        """
        Remove the calls whose maximum wait is over.

        :param now_ms: monotonic time, in milliseconds
        :return: the removed calls
        """
        if now_ms < self._first_expiry_ms:
            return []
        late = [item for item in self._calls.values() if item.until_ms <= now_ms]
        for waiting in late:
            self.take(waiting)
        self._first_expiry_ms = min(
            (item.until_ms for item in self._calls.values()), default=math.inf
        )
        return late

    def take_until(self, until_ms: float) -> list[WaitingCall]:
        """
        Remove the calls whose maximum wait ends before a time.

        :param until_ms: monotonic time, in milliseconds
        :return: the removed calls
        """
        taken = [item for item in self._calls.values() if item.until_ms < until_ms]
        for waiting in taken:
            self.take(waiting)
        return taken

    def _rank(
        self, waiting: WaitingCall, now_ms: float
    ) -> tuple[bool, int, int, int, float]:
        call = waiting.call
        served = self._customers[call.customer].served
        return (
            now_ms > call.start_by_ms,
            call.account_priority,
            call.priority,
            served,
            call.deadline_ms,
        )

    def _count_waiting_call(self, customer: str) -> None:
        row = self._customers.get(customer)
        if row is None:
            self._evict_idle_customers()
            row = self._customers[customer] = CustomerRow()
        if not row.waiting:
            row.served = max(row.served, self._served_baseline)
        row.waiting += 1

    def _evict_idle_customers(self) -> None:
        if len(self._customers) < MAX_CUSTOMERS:
            return
        for name in [name for name, row in self._customers.items() if not row.waiting]:
            del self._customers[name]

    def _find_call_to_drop(self, call: Call) -> WaitingCall | None:
        lowest = max(item.call.account_priority for item in self._calls.values())
        if lowest > call.account_priority:
            calls = [
                item
                for item in self._calls.values()
                if item.call.account_priority == lowest
            ]
            busiest = max(
                {item.call.customer: None for item in calls}, key=self._waiting_of
            )
            return [item for item in calls if item.call.customer == busiest][-1]
        own = self._customers.get(call.customer)
        limit = (own.waiting if own is not None else 0) + 1
        busiest = max(self._customers, key=self._waiting_of)
        if self._customers[busiest].waiting <= limit:
            return None
        calls = [item for item in self._calls.values() if item.call.customer == busiest]
        return calls[-1]

    def _waiting_of(self, customer: str) -> int:
        return self._customers[customer].waiting


def max_wait_ms(spec: Any, call: Call, now_ms: float) -> float:
    """
    Return the maximum wait of a call.

    :param spec: the service of the call
    :param call: the call; an isolated one has to wait until an upstream has no requests
    :param now_ms: monotonic time, in milliseconds
    :return: milliseconds from now
    """
    bound_ms = ISOLATED_WAIT_MS if call.isolated else spec.max_queue_wait_ms
    share_ms = MAX_WAIT_SHARE * (call.deadline_ms - call.arrived_ms)
    left_ms = min(call.deadline_ms, call.latest_start_ms) - now_ms
    return min(bound_ms, share_ms, left_ms)
