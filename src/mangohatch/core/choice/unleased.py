"""Limit of the attempts that a host makes without slot leases."""

from mangohatch.clock import Clock
from mangohatch.core.call import Call
from mangohatch.core.tables import ServiceRow

__all__ = ["UNLEASED_DELAY_MS", "BUDGET_EXHAUSTED_LINGER_MS", "UnleasedGate"]

BROKER_SILENCE_MS = 50.0
UNLEASED_DELAY_MS = 2.0
BUDGET_EXHAUSTED_MS = 1_000.0
BUDGET_EXHAUSTED_LINGER_MS = 15.0
MIN_UNLEASED = 4
FAIR_SHARES = 2


class UnleasedGate:
    """
    Limits the attempts that a host makes without leases on one shard.

    Such attempts are allowed at once while the broker is silent, and after a wait of
    ``UNLEASED_DELAY_MS`` while the measuring budget is exhausted.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._broker_silent_until_ms = 0.0
        self._budget_exhausted_until_ms = 0.0
        self._in_flight = 0

    @property
    def broker_silent(self) -> bool:
        """Whether the broker missed an answer within the last ``BROKER_SILENCE_MS``."""
        return self._clock.now_ms() < self._broker_silent_until_ms

    @property
    def budget_exhausted(self) -> bool:
        """Whether the budget denied a call within the last ``BUDGET_EXHAUSTED_MS``."""
        return self._clock.now_ms() < self._budget_exhausted_until_ms

    def record_silence(self) -> None:
        """Record that the broker did not answer a request."""
        self._broker_silent_until_ms = self._clock.now_ms() + BROKER_SILENCE_MS

    def record_answer(self) -> None:
        """Record that the broker answered, which ends its silence."""
        self._broker_silent_until_ms = 0.0

    def record_denial(self) -> None:
        """Record that the measuring budget had no room for a call."""
        self._budget_exhausted_until_ms = self._clock.now_ms() + BUDGET_EXHAUSTED_MS

    def allows(self, service: ServiceRow, call: Call, hosts: int) -> bool:
        """
        Return whether a call may be placed without a lease now.

        :param service: the service of the call
        :param call: the call
        :param hosts: number of live entry hosts
        :return: False when the call has to wait for a lease
        """
        if call.isolated:
            return False
        waited_ms = self._clock.now_ms() - call.arrived_ms
        if not self.broker_silent and not (
            self.budget_exhausted and waited_ms >= UNLEASED_DELAY_MS
        ):
            return False
        slots = sum(row.slots for row in service.upstreams.values())
        return self._in_flight < max(MIN_UNLEASED, FAIR_SHARES * slots // max(1, hosts))

    def start(self) -> None:
        """Count the start of an attempt without a lease."""
        self._in_flight += 1

    def end(self) -> None:
        """Count the end of an attempt without a lease."""
        self._in_flight = max(0, self._in_flight - 1)
