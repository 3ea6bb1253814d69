"""Records events with hybrid logical clock timestamps in a bounded buffer."""

from collections import deque
from collections.abc import Sequence
from typing import Any

from mangohatch.clock import Clock
from mangohatch.timeline.event import Event, EventKind

__all__ = ["HybridClock", "Recorder"]

CAPACITY_EVENTS = 20_000


class HybridClock:
    """
    A hybrid logical clock, whose readings follow the order of messages.

    A reading is never below an earlier reading of this host or a reading carried by
    a received message.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._time_ms = 0.0
        self._count = 0

    def tick(self) -> tuple[float, int]:
        """
        Advance the clock for a local event or a message to be sent.

        :return: milliseconds since the epoch, and a tie breaker
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
        Advance the clock to the reading of a received message if that is later.

        :param time_ms: sender's reading in milliseconds since the epoch
        :param count: tie breaker of the sender's reading
        """
        if (time_ms, count) > (self._time_ms, self._count):
            self._time_ms = time_ms
            self._count = count


class Recorder:
    """
    Buffer of the latest events of this host; when full, it drops the oldest.

    :param host: id of this host
    :param zone: availability zone of this host
    :param clock: hybrid logical clock that timestamps the events
    :param capacity: maximum number of events
    """

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
        Record an event at the current time.

        :param kind: kind of the event
        :param fields: fields of :class:`Event` other than time, host, zone and kind
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
        Return a copy of the recorded events.

        :return: events, oldest first
        """
        return tuple(self._events)
