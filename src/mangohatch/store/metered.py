"""Counters and a budget for store calls."""

from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

from mangohatch.clock import Clock
from mangohatch.errors import StoreBudgetExhausted
from mangohatch.store.base import Listing, ObjectStore, StoredObject, WatchEvent

__all__ = ["CallBudget", "MeteredStore"]

BURST_S = 2.0
MS_PER_S = 1000.0


class CallBudget:
    """
    Token bucket that limits the rate of calls.

    :param per_second: allowed average rate in calls per second
    :param clock: clock of this host
    """

    def __init__(self, *, per_second: float, clock: Clock) -> None:
        self._per_second = per_second
        self._clock = clock
        self._burst = max(per_second * BURST_S, 1.0)
        self._tokens = self._burst
        self._last_refill_ms = clock.now_ms()

    def take(self) -> float:
        """
        Take a token if one is available.

        :return: 0 when a token was taken, otherwise milliseconds until the next one
        """
        now_ms = self._clock.now_ms()
        refilled = (
            self._tokens + (now_ms - self._last_refill_ms) / MS_PER_S * self._per_second
        )
        self._tokens = min(refilled, self._burst)
        self._last_refill_ms = now_ms
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self._per_second * MS_PER_S


class MeteredStore(ObjectStore):
    """
    Forwards calls within a budget and counts them by role and call.

    :param store: store to which calls are forwarded
    :param role: caller role in the counters
    :param budget: budget of the role
    :param calls: counters by role and call, shared by all roles of a host; calls
        without budget are counted as ``refused``
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        role: str,
        budget: CallBudget,
        calls: Counter[tuple[str, str]],
    ) -> None:
        self._store = store
        self._role = role
        self._budget = budget
        self._calls = calls

    async def get(self, kind: str, name: str) -> StoredObject | None:
        self._spend("get")
        return await self._store.get(kind, name)

    async def list(self, kind: str) -> Listing:
        self._spend("list")
        return await self._store.list(kind)

    async def put(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        *,
        expected_revision: int | None,
    ) -> StoredObject:
        self._spend("put")
        return await self._store.put(
            kind, name, value, expected_revision=expected_revision
        )

    async def delete(self, kind: str, name: str, *, expected_revision: int) -> None:
        self._spend("delete")
        await self._store.delete(kind, name, expected_revision=expected_revision)

    def watch(self, kind: str, *, since: int) -> AsyncIterator[WatchEvent]:
        self._spend("watch")
        return self._store.watch(kind, since=since)

    def _spend(self, call: str) -> None:
        wait_ms = self._budget.take()
        if wait_ms:
            self._calls[(self._role, "refused")] += 1
            raise StoreBudgetExhausted(
                f"{self._role} has no budget for {call}", retry_after_ms=wait_ms
            )
        self._calls[(self._role, call)] += 1
