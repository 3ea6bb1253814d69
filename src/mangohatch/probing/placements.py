"""Placed requests told between hosts."""

from collections.abc import Callable

from mangohatch.clock import Clock
from mangohatch.core.call import Grant
from mangohatch.core.choice.expected import PlacementListener
from mangohatch.core.tables import Tables
from mangohatch.core.timers import Timers
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.load import PlacementNotes

__all__ = ["PlacementNews"]


def ignore(service: str) -> None:
    """
    Stand in for the router until there is one.

    :param service: name of a service
    """


class PlacementNews(PlacementListener):
    """
    Tells peers at once where this host sends requests, and takes what they tell.

    Answers the load of upstreams with one or two slots: reports are some hundred
    milliseconds old, and without these notes several hosts choose the same free slot
    in between. A lost note makes a count wrong until the next report. ``on_end`` is
    called with the service of each request that ended at a peer.

    :param clock: source of time
    :param tables: services and upstreams
    :param bus: messages to other hosts
    :param timers: sends what one turn of the event loop has collected
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tables: Tables,
        bus: PeerBus,
        timers: Timers,
    ) -> None:
        self.on_end: Callable[[str], None] = ignore
        self._clock = clock
        self._tables = tables
        self._bus = bus
        self._timers = timers
        self._unsent: dict[str, PlacementNotes] = {}
        bus.subscribe(PlacementNotes, self._receive)

    def began(self, grant: Grant) -> None:
        notes = self._notes(grant)
        notes.begun_upstreams.append(grant.upstream.name)
        notes.begun_tokens.append(grant.token)

    def ended(self, grant: Grant) -> None:
        notes = self._notes(grant)
        notes.ended_upstreams.append(grant.upstream.name)
        notes.ended_tokens.append(grant.token)

    def _notes(self, grant: Grant) -> PlacementNotes:
        if not self._unsent:
            self._timers.call_later(0.0, self._flush)
        name = grant.call.service
        notes = self._unsent.get(name)
        if notes is None:
            notes = self._unsent[name] = PlacementNotes(service_name=name)
        return notes

    def _flush(self) -> None:
        unsent, self._unsent = self._unsent, {}
        for notes in unsent.values():
            self._bus.broadcast(notes)

    def _receive(self, sender: str, notes: PlacementNotes) -> None:
        service = self._tables.services.get(notes.service_name)
        if service is None:
            return
        now_ms = self._clock.now_ms()
        for name, token in zip(notes.begun_upstreams, notes.begun_tokens):
            row = service.upstreams.get(name)
            if row is not None:
                row.load.begin_at_peer(sender, token, now_ms)
        for name, token in zip(notes.ended_upstreams, notes.ended_tokens):
            row = service.upstreams.get(name)
            if row is not None:
                row.load.end_at_peer(sender, token, now_ms)
        if notes.ended_upstreams:
            self.on_end(notes.service_name)
