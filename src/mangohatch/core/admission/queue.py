"""The queue of one service on one host."""

import heapq
import itertools
from dataclasses import dataclass

from mangohatch.config.service import ServiceSpec
from mangohatch.core.call import Call, Deliver
from mangohatch.errors import Overloaded

__all__ = ["WaitQueue", "Waiting"]

RATE_WEIGHT = 0.1


@dataclass(slots=True, kw_only=True, eq=False)
class Waiting:
    """A call that waits for an upstream until ``until_ms``."""

    call: Call
    deliver: Deliver
    until_ms: float = 0.0
    gone: bool = False


class WaitQueue:
    """Calls in the order of their deadlines, none longer than the bound."""

    def __init__(self, *, spec: ServiceSpec) -> None:
        self._spec = spec
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, Waiting]] = []
        self._calls: dict[str, Waiting] = {}
        self._gap_ms = 0.0
        self._served_ms = 0.0

    def __len__(self) -> int:
        return len(self._calls)

    def offer(self, waiting: Waiting, now_ms: float) -> Overloaded | None:
        """
        Queue a call, unless it would wait too long.

        :param waiting: the call
        :param now_ms: monotonic time
        :return: the refusal, None when the call was queued
        """
        call = waiting.call
        allowed_ms = min(self._spec.max_queue_wait_ms, call.deadline_ms - now_ms)
        if self.estimate_ms() > allowed_ms:
            return Overloaded(
                "the queue is too long", retry_after_ms=self.retry_after_ms()
            )
        waiting.until_ms = now_ms + allowed_ms
        if not self._calls:
            self._served_ms = now_ms
        self._calls[call.request_id] = waiting
        entry = (call.deadline_ms, next(self._sequence), waiting)
        heapq.heappush(self._heap, entry)
        return None

    def estimate_ms(self) -> float:
        """
        Estimate the wait of a call that joins now.

        :return: calls ahead, and the new one, at the recent rate of service
        """
        return (len(self._calls) + 1) * self._gap_ms if self._calls else 0.0

    def serve(self, waiting: Waiting, now_ms: float) -> None:
        """
        Remove a call that got an upstream.

        :param waiting: the call
        :param now_ms: monotonic time
        """
        gap_ms = now_ms - self._served_ms
        self._gap_ms += RATE_WEIGHT * (gap_ms - self._gap_ms)
        self._served_ms = now_ms
        self.take(waiting)

    def retry_after_ms(self) -> float:
        """
        Estimate when a refused call may find room.

        :return: time for the queue of now to be served
        """
        return max(self._spec.max_queue_wait_ms, self.estimate_ms())

    def head(self) -> Waiting | None:
        """
        Find the call to serve next.

        :return: the call, None when none waits
        """
        while self._heap and self._heap[0][2].gone:
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def take(self, waiting: Waiting) -> None:
        """
        Remove a call.

        :param waiting: the call
        """
        waiting.gone = True
        self._calls.pop(waiting.call.request_id, None)

    def remove(self, call: Call) -> None:
        """
        Remove a call that its caller gave up.

        :param call: the call
        """
        waiting = self._calls.get(call.request_id)
        if waiting is not None:
            self.take(waiting)

    def expire(self, now_ms: float) -> list[Waiting]:
        """
        Remove the calls that have waited for too long.

        :param now_ms: monotonic time
        :return: these calls
        """
        late = [item for item in self._calls.values() if item.until_ms <= now_ms]
        for waiting in late:
            self.take(waiting)
        return late
