"""Explains what happened to one request from the events of all hosts."""

from collections.abc import Sequence
from dataclasses import dataclass

from mangohatch.admin.events import EventReader, FleetEvents
from mangohatch.timeline import Event, EventSelection, merge_events

__all__ = ["Explainer", "Explanation"]

MARGIN_MS = 2000.0
MAX_UPSTREAMS = 5
MAX_EVENTS = 500


@dataclass(slots=True, kw_only=True)
class Explanation:
    """Events of a request and of its upstreams around that time, with a summary."""

    events: Sequence[Event]
    notes: Sequence[str]
    silent_hosts: Sequence[str]


class Explainer:
    """
    Collects the events that explain what happened to a request.

    :param reader: reader of the timeline events of all hosts
    """

    def __init__(self, *, reader: EventReader) -> None:
        self._reader = reader

    async def explain(self, request_id: str) -> Explanation:
        """
        Collect the events that concern a request.

        :param request_id: id of the request
        :return: events of the request, and of its upstreams at that time
        """
        own = await self._reader.read(
            EventSelection(request_id=request_id), limit=MAX_EVENTS
        )
        if not own.events:
            note = (
                f"no host remembers an event of request {request_id}: it was neither "
                "slow, retried, refused nor failed, or it was too long ago"
            )
            return Explanation(events=(), notes=(note,), silent_hosts=own.silent_hosts)
        upstream_events = await self.read_upstream_events(own.events)
        batches = [own.events, *(found.events for found in upstream_events)]
        silent = {
            host for found in (own, *upstream_events) for host in found.silent_hosts
        }
        return Explanation(
            events=merge_events(batches, limit=MAX_EVENTS),
            notes=summarize(own.events),
            silent_hosts=sorted(silent),
        )

    async def read_upstream_events(self, events: Sequence[Event]) -> list[FleetEvents]:
        """
        Read events of the upstreams to which a request was sent.

        Only events that belong to no request are returned.

        :param events: events of the request, in causal order
        :return: for each upstream, events shortly before and during the request
        """
        first_ms = events[0].time_ms - events[0].duration_ms - MARGIN_MS
        last_ms = events[-1].time_ms
        upstreams = {
            (event.service, event.upstream) for event in events if event.upstream
        }
        found = []
        for service, upstream in sorted(upstreams)[:MAX_UPSTREAMS]:
            selection = EventSelection(
                service=service, upstream=upstream, since_ms=first_ms
            )
            answer = await self._reader.read(selection, limit=MAX_EVENTS)
            answer.events = [
                event
                for event in answer.events
                if event.time_ms <= last_ms and not event.request_id
            ]
            found.append(answer)
        return found


def summarize(events: Sequence[Event]) -> tuple[str, ...]:
    """
    Summarize the events of a request.

    :param events: events of the request, in causal order
    :return: one sentence per event
    """
    return tuple(describe(event) for event in events)


def describe(event: Event) -> str:
    """
    Describe one event.

    :param event: the event
    :return: one sentence
    """
    text = f"{event.host}: {str(event.kind).replace('_', ' ')}"
    if event.upstream:
        text += f" at upstream {event.upstream} of {event.service}"
    if event.duration_ms:
        text += f" after {event.duration_ms:.1f} ms"
    if event.cause:
        text += f": {event.cause}"
    return text
