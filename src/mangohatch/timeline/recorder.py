"""Recording of events into a bounded buffer, stamped by a hybrid logical clock."""

from collections import deque
from collections.abc import Sequence
from typing import Any

from mangohatch.clock import Clock
from mangohatch.timeline.event import Event, EventKind

__all__ = ["HybridClock", "Recorder"]

CAPACITY_EVENTS = 20_000


class HybridClock:
    """
    A clock whose readings respect the order of messages between hosts.

    A reading is never below one taken before, nor below any reading that a
    received message carried.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._time_ms = 0.0
        self._count = 0

    def tick(self) -> tuple[float, int]:
        """
        Take a reading for a local event or a message to be sent.

        :return: milliseconds since the epoch and a tie breaker
        """
        wall_ms = self._clock.wall_ms()
        if wall_ms > self._time_ms:
            self._time_ms = wall_ms
            self._count = 0
        else:
            self._count += 1
        return self._time_ms, self._count

    def merge(self, time_ms: float, count: int) -> None:
        """
        Take note of the reading that a received message carries.

        :param time_ms: milliseconds of the sender's reading
        :param count: tie breaker of the sender's reading
        """
        if (time_ms, count) > (self._time_ms, self._count):
            self._time_ms = time_ms
            self._count = count


class Recorder:
    """The latest events of this host, the oldest dropped first."""

    def __init__(
        self,
        *,
        host: str,
        zone: str,
        clock: HybridClock,
        capacity: int = CAPACITY_EVENTS,
    ) -> None:
        self.clock = clock
        self._host = host
        self._zone = zone
        self._events: deque[Event] = deque(maxlen=capacity)

    def record(self, kind: EventKind, **fields: Any) -> None:
        """
        Record an event now.

        :param kind: what happened
        :param fields: fields of :class:`Event` other than time, host and zone
        """
        time_ms, count = self.clock.tick()
        event = Event(
            time_ms=time_ms,
            count=count,
            host=self._host,
            zone=self._zone,
            kind=kind,
            **fields,
        )
        self._events.append(event)

    def events(self) -> Sequence[Event]:
        """
        Copy the recorded events.

        :return: events, oldest first
        """
        return tuple(self._events)
