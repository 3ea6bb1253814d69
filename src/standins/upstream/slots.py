"""Slots of an upstream with a first-in, first-out queue."""

import asyncio
from collections import deque

__all__ = ["QueueExpired", "QueueFull", "SlotQueue"]


class QueueFull(Exception):
    """The queue has reached its limit; the request did not run."""


class QueueExpired(Exception):
    """The deadline passed in the queue; the request did not run."""


class SlotQueue:
    """Assigns a limited number of slots to requests in order of arrival."""

    def __init__(self) -> None:
        self.running = 0
        self._waiters: deque[asyncio.Future[None]] = deque()

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return sum(1 for fut in self._waiters if not fut.done())

    @property
    def in_flight(self) -> int:
        """Number of requests that run or wait in the queue."""
        return self.running + self.waiting

    async def acquire(
        self, *, slots: int, queue_limit: int, timeout_ms: float | None
    ) -> None:
        """
        Wait for a slot.

        :param slots: number of slots of the upstream
        :param queue_limit: maximum number of requests in the queue
        :param timeout_ms: maximum wait in milliseconds, None for no limit
        :raises QueueFull: when the queue has reached its limit
        :raises QueueExpired: when no slot became free within ``timeout_ms``
        """
        if self.running < slots and not self.waiting:
            self.running += 1
            return
        if self.waiting >= queue_limit:
            raise QueueFull
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(fut)
        try:
            async with asyncio.timeout(
                None if timeout_ms is None else timeout_ms / 1e3
            ):
                await fut
        except TimeoutError:
            self._abandon_wait(fut)
            raise QueueExpired from None
        except asyncio.CancelledError:
            self._abandon_wait(fut)
            raise

    def _abandon_wait(self, fut: asyncio.Future[None]) -> None:
        if fut.done() and not fut.cancelled():
            self.release()
        fut.cancel()

    def release(self) -> None:
        """Free a slot and give it to the first request in the queue, if any."""
        while self._waiters:
            fut = self._waiters.popleft()
            if not fut.done():
                fut.set_result(None)
                return
        self.running -= 1
