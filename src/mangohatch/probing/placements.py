"""Exchange of request placements between hosts."""

import math
from collections.abc import Callable

from mangohatch.clock import Clock
from mangohatch.core.call import Grant
from mangohatch.core.choice.base import ignore_service, return_zero
from mangohatch.core.choice.placement import PlacementListener
from mangohatch.core.contention import ContentionOrder
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.core.timers import Timers
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.load import PlacementNotes

__all__ = ["PlacementUpdates"]

REANNOUNCE_INTERVAL_MS = 50.0  # a third of the time for which peers keep an urgency


def ignore_slot(row: UpstreamRow, event: str) -> None:
    """
    Do nothing; the default of ``on_slot_freed``.

    :param row: an upstream
    :param event: string that identifies the request that ended
    """


class PlacementUpdates(PlacementListener):
    """
    Announces this host's placements immediately, and applies those of peers.

    Designed for upstreams with one or two slots: load reports are some hundred
    milliseconds old, and without these messages several hosts would choose the same
    free slot between two reports. A lost message makes the request count of an upstream
    wrong until its next report.

    A placement goes to the hosts that use its upstream. While calls wait, their urgency
    goes with the placements, and otherwise to one audience of the subset table in turn.
    When none waits any more, the hosts that know of an urgency are told. The messages
    of a waiting host therefore don't depend on the number of hosts.

    ``on_slot_freed`` is called for each request that ended at a peer, with the upstream
    and a string that identifies the request. ``on_service_freed`` is called with the
    service name after all ended requests of a message were applied. ``urgency`` returns
    the urgency of the calls that wait on this host.

    :param clock: source of time
    :param tables: services and upstreams
    :param subset: the hosts that use each upstream
    :param bus: messages to other hosts
    :param timers: sends the placements collected in one iteration of the event loop
    :param contention: receives the urgency of the calls that wait at peers
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tables: Tables,
        subset: SubsetTable,
        bus: PeerBus,
        timers: Timers,
        contention: ContentionOrder,
    ) -> None:
        self.on_service_freed: Callable[[str], None] = ignore_service
        self.on_slot_freed: Callable[[UpstreamRow, str], None] = ignore_slot
        self.urgency: Callable[[str], float] = return_zero
        self._clock = clock
        self._tables = tables
        self._subset = subset
        self._bus = bus
        self._timers = timers
        self._contention = contention
        self._unsent: dict[str, PlacementNotes] = {}
        self._announced_ms: dict[str, float] = {}
        self._turns: dict[str, int] = {}
        self._informed: dict[str, set[str]] = {}
        self._timed: set[str] = set()
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
            self._send(name, notes)

    def _send(self, name: str, notes: PlacementNotes) -> None:
        urgency = self.urgency(name)
        audiences = self._subset.audiences(name)
        audience = audiences[self._turns.get(name, 0) % len(audiences)]
        messages = self._split(notes)
        if not messages and urgency > 0.0:
            messages[audience] = notes
        told: set[str] = set()
        for users, message in messages.items():
            message.urgency = urgency
            self._bus.multicast(sorted(users), message)
            told |= users
        if urgency > 0.0:
            self._informed.setdefault(name, set()).update(told)
            self._record_announced(name, audience <= told)
            return
        self._announced_ms.pop(name, None)
        rest = self._informed.pop(name, set()) - told
        if rest:
            self._bus.multicast(sorted(rest), PlacementNotes(service_name=name))

    def _split(self, notes: PlacementNotes) -> dict[frozenset[str], PlacementNotes]:
        name = notes.service_name
        messages: dict[frozenset[str], PlacementNotes] = {}

        def message(upstream: str) -> PlacementNotes:
            users = self._subset.users(name, upstream)
            return messages.setdefault(users, PlacementNotes(service_name=name))

        for upstream, token in zip(notes.begun_upstreams, notes.begun_tokens):
            part = message(upstream)
            part.begun_upstreams.append(upstream)
            part.begun_tokens.append(token)
        for upstream, token in zip(notes.ended_upstreams, notes.ended_tokens):
            part = message(upstream)
            part.ended_upstreams.append(upstream)
            part.ended_tokens.append(token)
        return messages

    def _record_announced(self, name: str, announced: bool) -> None:
        now_ms = self._clock.now_ms()
        if announced:
            self._turns[name] = self._turns.get(name, 0) + 1
            self._announced_ms[name] = now_ms
        since_ms = self._announced_ms.setdefault(name, now_ms - REANNOUNCE_INTERVAL_MS)
        due_ms = since_ms + REANNOUNCE_INTERVAL_MS
        self._announce_later(name, max(0.0, due_ms - now_ms))

    def _announce_later(self, name: str, delay_ms: float) -> None:
        if name not in self._timed:
            self._timed.add(name)
            self._timers.call_later(delay_ms, lambda: self._announce_again(name))

    def _announce_again(self, name: str) -> None:
        # Peers discard an urgency that was not announced again in time.
        self._timed.discard(name)
        if self.urgency(name) <= 0.0:
            if name in self._informed and len(self._subset.audiences(name)) > 1:
                self._notes(name)
            return
        announced_ms = self._announced_ms.get(name, -math.inf)
        delay_ms = announced_ms + REANNOUNCE_INTERVAL_MS - self._clock.now_ms()
        if delay_ms > 0.0:
            self._announce_later(name, delay_ms)
        else:
            self._notes(name)

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
