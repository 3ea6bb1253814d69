"""Reads timeline events from all hosts."""

import uuid
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from pydantic import TypeAdapter, ValidationError

from mangohatch.clock import Clock
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.exchange import Exchange
from mangohatch.peer.messages.queries import EventBatch, EventQuery
from mangohatch.timeline import (
    Event,
    EventSelection,
    OffsetTable,
    Recorder,
    merge_events,
)
from mangohatch.timeline.codec import decode_event, encode_event

__all__ = ["EventReader", "FleetEvents"]

WAIT_MS = 1000.0
RESEND_MS = 300.0
DEFAULT_LIMIT = 200
MAX_LIMIT = 5000

SELECTION_ADAPTER = TypeAdapter(EventSelection)


@dataclass(slots=True, kw_only=True)
class FleetEvents:
    """
    Events of all hosts that answered, in causal order.

    ``offsets_ms`` maps a host to the lower and upper bound of its clock minus the
    clock of this host, in milliseconds.
    """

    events: Sequence[Event]
    silent_hosts: Sequence[str]
    offsets_ms: dict[str, tuple[float, float]]


class EventReader:
    """
    Reads events from every live member, and answers event queries of other hosts.

    :param bus: message bus to the other hosts
    :param clock: source of time
    :param recorder: recorder of this host's events
    """

    def __init__(self, *, bus: PeerBus, clock: Clock, recorder: Recorder) -> None:
        self._bus = bus
        self._clock = clock
        self._recorder = recorder
        self._pending: dict[str, Exchange[Sequence[Event]]] = {}
        self._sent_ms: dict[str, float] = {}
        self._offsets = OffsetTable(clock=clock)
        bus.subscribe(EventQuery, self.on_query)
        bus.subscribe(EventBatch, self.on_batch)

    async def read(self, selection: EventSelection, *, limit: int = 0) -> FleetEvents:
        """
        Read events from all members.

        :param selection: events to read
        :param limit: maximum number of events, of which the latest are kept; 0 for
            the default
        :return: the events, and the hosts that did not answer in time
        """
        limit = min(limit or DEFAULT_LIMIT, MAX_LIMIT)
        query = EventQuery(
            query_id=uuid.uuid4().hex,
            filter_json=SELECTION_ADAPTER.dump_json(selection).decode(),
            limit=limit,
        )
        exchange: Exchange[Sequence[Event]] = Exchange(
            bus=self._bus, clock=self._clock, message=query
        )
        self._pending[query.query_id] = exchange
        self._sent_ms[query.query_id] = self._clock.wall_ms()
        exchange.add_answer(self._bus.host_id, self.select(selection, limit))
        members = frozenset(view.host_id for view in self._bus.members())
        try:
            silent = await exchange.run(
                wanted=lambda: members,
                final=lambda answer: True,
                wait_ms=WAIT_MS,
                resend_ms=RESEND_MS,
            )
        finally:
            del self._pending[query.query_id]
            del self._sent_ms[query.query_id]
        events = merge_events(exchange.answers.values(), limit=limit)
        return FleetEvents(
            events=events,
            silent_hosts=sorted(silent),
            offsets_ms=self._find_offsets(members - {self._bus.host_id}),
        )

    def _find_offsets(self, hosts: Iterable[str]) -> dict[str, tuple[float, float]]:
        bounds = {host: self._offsets.bounds(host) for host in sorted(hosts)}
        return {host: found for host, found in bounds.items() if found is not None}

    def select(self, selection: EventSelection, limit: int) -> Sequence[Event]:
        """
        Select events of this host.

        :param selection: events to return
        :param limit: maximum number of events, of which the latest are kept
        :return: the events, oldest first
        """
        return list(selection.select(self._recorder.events()))[-limit:]

    def on_query(self, sender: str, query: EventQuery) -> None:
        """
        Answer an event query of another host; an invalid query is ignored.

        :param sender: id of the host that asked
        :param query: the query
        """
        try:
            selection = SELECTION_ADAPTER.validate_json(query.filter_json)
        except ValidationError:
            return
        limit = max(1, min(query.limit, MAX_LIMIT))
        events = [encode_event(event) for event in self.select(selection, limit)]
        batch = EventBatch(
            query_id=query.query_id,
            events=events,
            last=True,
            wall_ms=self._clock.wall_ms(),
        )
        self._bus.send(sender, batch)

    def on_batch(self, sender: str, batch: EventBatch) -> None:
        """
        Record the events of another host, and bounds of its clock offset.

        A batch that is invalid or arrives after its query has ended is dropped.

        :param sender: id of the host that answered
        :param batch: its events
        """
        exchange = self._pending.get(batch.query_id)
        if exchange is None:
            return
        try:
            events = [decode_event(text) for text in batch.events]
        except (TypeError, ValueError):
            return
        self._offsets.observe(
            sender,
            sent_ms=self._sent_ms[batch.query_id],
            remote_ms=batch.wall_ms,
            received_ms=self._clock.wall_ms(),
        )
        exchange.add_answer(sender, events)
