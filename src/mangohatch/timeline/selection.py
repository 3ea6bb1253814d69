"""Selects events by request, service, upstream, host, kind and time."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from mangohatch.timeline.event import Event

__all__ = ["EventSelection"]


@dataclass(slots=True, kw_only=True, frozen=True)
class EventSelection:
    """
    Criteria that an event must meet; an empty field matches every event.

    ``since_ms`` is the earliest wall-clock time, in milliseconds since the epoch.
    """

    request_id: str = ""
    service: str = ""
    upstream: str = ""
    host: str = ""
    kind: str = ""
    since_ms: float = 0.0

    def matches(self, event: Event) -> bool:
        """
        Return whether an event is selected.

        :param event: the event
        :return: whether the event matches every field that is set
        """
        if event.time_ms < self.since_ms:
            return False
        pairs = (
            (self.request_id, event.request_id),
            (self.service, event.service),
            (self.upstream, event.upstream),
            (self.host, event.host),
            (self.kind, event.kind),
        )
        return all(not wanted or wanted == actual for wanted, actual in pairs)

    def select(self, events: Iterable[Event]) -> Iterator[Event]:
        """
        Iterate over the selected events.

        :param events: events in any order
        :return: the selected events, in the same order
        """
        return filter(self.matches, events)
