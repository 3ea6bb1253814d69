"""Token buckets that limit the measuring calls of a service."""

from typing import TYPE_CHECKING

from mangohatch.clock import Clock
from mangohatch.core.measuring.counter import MeasuringCounter
from mangohatch.core.tables import ServiceRow

if TYPE_CHECKING:
    from mangohatch.config.service import MeasuringBudget

__all__ = ["BudgetGate", "BudgetGates"]

MS_PER_S = 1000.0
BURST_REQUESTS = 100
START_CALLS = 10.0


class BudgetGate:
    """
    Admits measuring calls within the budget of one service.

    Three token buckets limit calls, bytes and calls per request. The first two refill
    at constant rates and hold at most one second of their rate. The third is refilled
    by requests. A call is denied when any bucket has too few tokens.
    """

    def __init__(
        self, *, clock: Clock, budget: "MeasuringBudget", counter: MeasuringCounter
    ) -> None:
        self._clock = clock
        self.budget = budget
        self._counter = counter
        self._filled_ms = clock.now_ms()
        self._calls = budget.calls_per_second
        self._bytes = budget.bytes_per_second
        self._request_credit = START_CALLS if budget.calls_per_request else 0.0

    def record_request(self) -> None:
        """Count a request and add its share of a call to the budget."""
        self._counter.requests += 1
        budget = self.budget
        limit = max(1.0, budget.calls_per_request * BURST_REQUESTS)
        self._request_credit = min(
            limit, self._request_credit + budget.calls_per_request
        )

    def spend_call(self, size_bytes: int) -> bool:
        """
        Spend the tokens for a call, if all buckets allow it.

        :param size_bytes: size of the call on the wire
        :return: whether the call may be sent
        """
        self._fill()
        if self._calls < 1 or self._request_credit < 1 or self._bytes < size_bytes:
            self._counter.denied += 1
            return False
        self._calls -= 1
        self._request_credit -= 1
        self._bytes -= size_bytes
        self._counter.count_call(size_bytes)
        return True

    def charge_call(self, size_bytes: int) -> None:
        """
        Charge a mandatory call, even if the budget becomes negative.

        Later calls are denied until the buckets have refilled.

        :param size_bytes: size of the call on the wire
        """
        self._fill()
        self._calls -= 1
        self._request_credit -= 1
        self._bytes -= size_bytes
        self._counter.count_call(size_bytes)

    def spend_message(self, size_bytes: int) -> None:
        """
        Charge a one-way message, even if the budget becomes negative.

        Later calls are denied until the buckets have refilled.

        :param size_bytes: size of the message on the wire
        """
        self._bytes -= size_bytes
        self._counter.count_message(size_bytes)

    def _fill(self) -> None:
        now_ms = self._clock.now_ms()
        elapsed_s = (now_ms - self._filled_ms) / MS_PER_S
        self._filled_ms = now_ms
        budget = self.budget
        calls = self._calls + budget.calls_per_second * elapsed_s
        self._calls = min(budget.calls_per_second, calls)
        size_bytes = self._bytes + budget.bytes_per_second * elapsed_s
        self._bytes = min(budget.bytes_per_second, size_bytes)


class BudgetGates:
    """
    The budget gates of all services.

    :param clock: source of time
    :param counters: counters by service name; counters of new services are added
    """

    def __init__(self, *, clock: Clock, counters: dict[str, MeasuringCounter]) -> None:
        self._clock = clock
        self._counters = counters
        self._gates: dict[str, BudgetGate] = {}

    def find(self, service: ServiceRow) -> BudgetGate:
        """
        Return the gate of a service; a changed budget creates a new gate.

        :param service: the service
        :return: the gate of the service
        """
        name = service.spec.name
        budget = service.spec.measuring
        gate = self._gates.get(name)
        if gate is None or (gate.budget is not budget and gate.budget != budget):
            gate = self._gates[name] = BudgetGate(
                clock=self._clock,
                budget=budget,
                counter=self._counters.setdefault(name, MeasuringCounter()),
            )
        return gate
