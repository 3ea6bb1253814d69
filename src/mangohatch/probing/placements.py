"""Exchange of request placements between hosts."""

import math
from collections.abc import Callable

from mangohatch.clock import Clock
from mangohatch.core.call import Grant
from mangohatch.core.choice.expected import PlacementListener
from mangohatch.core.contention import ContentionOrder
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.core.timers import Timers
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.load import PlacementNotes

__all__ = ["PlacementUpdates"]

REANNOUNCE_INTERVAL_MS = 50.0  # a third of the time for which peers keep an urgency


def ignore_service(service: str) -> None:
    """
    Do nothing; the default of ``on_service_freed``.

    :param service: name of a service
    """


def ignore_slot(row: UpstreamRow, event: str) -> None:
    """
    Do nothing; the default of ``on_slot_freed``.

    :param row: an upstream
    :param event: string that identifies the request that ended
    """


def no_urgency(service: str) -> float:
    """
    Return no urgency; the default of ``urgency``.

    :param service: name of a service
    :return: 0
    """
    return 0.0


class PlacementUpdates(PlacementListener):
    """
    Announces this host's placements to peers immediately, and applies those of peers.

    Designed for upstreams with one or two slots: load reports are some hundred
    milliseconds old, and without these messages several hosts would choose the same
    free slot between two reports. A lost message makes the request count of an upstream
    wrong until its next report.

    ``on_slot_freed`` is called for each request that ended at a peer, with the upstream
    and a string that identifies the request. ``on_service_freed`` is called with the
    service name after all ended requests of a message were applied. ``urgency`` returns
    the urgency of the calls that wait on this host.

    :param clock: source of time
    :param tables: services and upstreams
    :param bus: messages to other hosts
    :param timers: sends the placements collected in one iteration of the event loop
    :param contention: receives the urgency of the calls that wait at peers
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tables: Tables,
        bus: PeerBus,
        timers: Timers,
        contention: ContentionOrder,
    ) -> None:
        self.on_service_freed: Callable[[str], None] = ignore_service
        self.on_slot_freed: Callable[[UpstreamRow, str], None] = ignore_slot
        self.urgency: Callable[[str], float] = no_urgency
        self._clock = clock
        self._tables = tables
        self._bus = bus
        self._timers = timers
        self._contention = contention
        self._unsent: dict[str, PlacementNotes] = {}
        self._announced_ms: dict[str, float] = {}
        bus.subscribe(PlacementNotes, self._receive)

    def on_started(self, grant: Grant) -> None:
        notes = self._notes(grant.call.service)
        notes.begun_upstreams.append(grant.upstream.name)
        notes.begun_tokens.append(grant.token)

    def on_ended(self, grant: Grant) -> None:
        notes = self._notes(grant.call.service)
        notes.ended_upstreams.append(grant.upstream.name)
        notes.ended_tokens.append(grant.token)

    def on_waiting(self, service: str) -> None:
        announced_ms = self._announced_ms.get(service, -math.inf)
        if self._clock.now_ms() >= announced_ms + REANNOUNCE_INTERVAL_MS:
            self._notes(service)

    def _notes(self, name: str) -> PlacementNotes:
        if not self._unsent:
            self._timers.call_later(0.0, self._flush)
        notes = self._unsent.get(name)
        if notes is None:
            notes = self._unsent[name] = PlacementNotes(service_name=name)
        return notes

    def _flush(self) -> None:
        unsent, self._unsent = self._unsent, {}
        for name, notes in unsent.items():
            notes.urgency = self.urgency(name)
            self._bus.broadcast(notes)
            self._record_announced(name, notes.urgency)

    def _record_announced(self, name: str, urgency: float) -> None:
        if urgency <= 0.0:
            self._announced_ms.pop(name, None)
            return
        self._announced_ms[name] = self._clock.now_ms()
        self._timers.call_later(
            REANNOUNCE_INTERVAL_MS, lambda: self._announce_again(name)
        )

    def _announce_again(self, name: str) -> None:
        # Peers discard an urgency that was not announced again in time.
        if self.urgency(name) > 0.0:
            self.on_waiting(name)

    def _receive(self, sender: str, notes: PlacementNotes) -> None:
        service = self._tables.services.get(notes.service_name)
        if service is None:
            return
        now_ms = self._clock.now_ms()
        self._contention.record_demand(notes.service_name, sender, notes.urgency)
        for name, token in zip(notes.begun_upstreams, notes.begun_tokens):
            row = service.upstreams.get(name)
            if row is not None:
                row.load.begin_at_peer(sender, token, now_ms)
        for name, token in zip(notes.ended_upstreams, notes.ended_tokens):
            row = service.upstreams.get(name)
            if row is not None:
                row.load.end_at_peer(sender, token, now_ms)
                self.on_slot_freed(row, f"{sender}/{token}")
        if notes.ended_upstreams:
            self.on_service_freed(notes.service_name)
