"""Keeps the directory up to date on all hosts with few calls to the store."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import structlog

from mangohatch.clock import Clock
from mangohatch.directory.exchange_delay import ExchangeDelay
from mangohatch.directory.gossip import MarkGossip
from mangohatch.directory.part import DirectoryPart
from mangohatch.directory.payload import Payload, PayloadCache
from mangohatch.directory.pieces import count_pieces
from mangohatch.directory.puller import PartPuller
from mangohatch.directory.ranking import ReaderRanking, make_origin
from mangohatch.directory.reader import StoreReader
from mangohatch.directory.reading_age import ReadingAges
from mangohatch.directory.retention import ItemRetention
from mangohatch.directory.schedule import PartState, ReadingSchedule
from mangohatch.directory.sender import PieceSender
from mangohatch.directory.settings import FollowerSettings
from mangohatch.directory.source import DirectorySource, PartReading
from mangohatch.directory.store_return import ReadingOrder
from mangohatch.directory.version import era_of, format_version
from mangohatch.directory.watch import READING_BITS, PartWatches
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.directory import (
    DirectoryMark,
    DirectoryMarks,
    DirectoryPiece,
    DirectoryPull,
)

__all__ = ["DirectoryFollower"]

MAX_AGE_MS = 2**31 - 1

log = structlog.get_logger()

OnChange = Callable[[DirectoryPart], None]


@dataclass(slots=True, kw_only=True)
class FollowedPart:
    """A part with the state of its readings and transfers."""

    state: PartState
    payloads: PayloadCache
    puller: PartPuller
    retention: ItemRetention
    order: ReadingOrder


class DirectoryFollower:
    """
    Reads the directory from the store if no other host does, and distributes it.

    A part of the directory holds all objects of one kind. Hosts send each other a mark
    for each part: its version, with revision and digest. A host that receives a newer
    mark pulls what has changed, in pieces.

    The host that made the latest reading has the first rank; those of the others follow
    from hashes of the members' ids. A host with a higher rank reads the store only if
    readings from the hosts before it stop arriving. No host is a leader whose loss
    would stop the readings, and it is harmless if two hosts read at the same time.

    Messages and calls of a host do not grow with the number of hosts: see
    :class:`MarkGossip`, :class:`PieceSender` and :class:`ReadingSchedule`.

    ``watches`` are the calls that wait for changes of watched parts, and ``origin`` is
    the number of this process in the marks of its readings.

    :param clock: source of time
    :param rng: source of random numbers, spreads retries and selects members
    :param source: reads the store
    :param bus: sends messages to other hosts
    :param on_change: called with each part whose content has changed
    :param first_start: whether the whole fleet starts for the first time
    :param cfg: intervals and delays; the defaults if None
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        source: DirectorySource,
        bus: PeerBus,
        on_change: OnChange,
        first_start: bool = False,
        cfg: FollowerSettings | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._on_change = on_change
        self._cfg = cfg or FollowerSettings()
        self._parts = {name: self._make_part(name, clock, bus) for name in source.parts}
        # One part tells who reads all of them, so that they share messages.
        lead = self.part(source.parts[0])
        ranking = ReaderRanking(bus=bus, reader=lambda: lead.origin)
        self._ranking = ranking
        self._delay = ExchangeDelay(clock=clock)
        self._ages = ReadingAges(clock=clock)
        self.origin = make_origin(bus.host_id, rng)
        self._schedule = ReadingSchedule(
            clock=clock,
            rng=rng,
            ranking=ranking,
            delay=self._delay,
            cfg=self._cfg,
            first_start=first_start,
        )
        self._reader = StoreReader(
            clock=clock,
            source=source,
            schedule=self._schedule,
            on_reading=self._apply_reading,
            on_failure=lambda: self.watches.record_failure(),
        )
        self.watches = PartWatches(
            clock=clock,
            rng=rng,
            source=source,
            ranking=ranking,
            states=[item.state for item in self._parts.values()],
            cfg=self._cfg,
            origin=self.origin,
            on_return=self._reader.read_now,
        )
        self._gossip = MarkGossip(
            clock=clock,
            rng=rng,
            bus=bus,
            ranking=ranking,
            make_marks=self.marks,
            delay=self._delay,
            cfg=self._cfg,
        )
        self._sender = PieceSender(clock=clock, bus=bus, make_mark=self._make_mark)
        bus.subscribe(DirectoryMarks, self._on_marks)
        bus.subscribe(DirectoryPull, self._on_pull)
        bus.subscribe(DirectoryPiece, self._on_piece)

    def _make_part(self, name: str, clock: Clock, bus: PeerBus) -> FollowedPart:
        part = DirectoryPart(name=name)
        return FollowedPart(
            state=PartState(part=part),
            payloads=PayloadCache(part=part),
            puller=PartPuller(clock=clock, bus=bus, part=part),
            retention=ItemRetention(clock=clock, cfg=self._cfg),
            order=ReadingOrder(clock=clock, cfg=self._cfg),
        )

    @property
    def parts(self) -> Sequence[str]:
        """Names of the parts."""
        return tuple(self._parts)

    @property
    def calls(self) -> int:
        """Number of calls to the store."""
        return self._reader.calls + self.watches.calls

    @property
    def failed_calls(self) -> int:
        """Number of calls to the store without a usable answer."""
        return self._reader.failed_calls + self.watches.failed_calls

    @property
    def pulls(self) -> int:
        """Number of requests for content that this host has sent to others."""
        return sum(item.puller.requests for item in self._parts.values())

    @property
    def dropped_pulls(self) -> int:
        """Number of requests for content that this host could not serve in time."""
        return self._sender.dropped

    @property
    def known(self) -> bool:
        """Whether this host has received every part at least once."""
        return all(item.state.part.known for item in self._parts.values())

    def part(self, name: str) -> DirectoryPart:
        """
        Return this host's copy of a part.

        :param name: name of the part
        :return: the part
        """
        return self._parts[name].state.part

    def age_ms(self, name: str) -> float:
        """
        Return the age of this host's copy of a part.

        :param name: name of the part
        :return: time in milliseconds since the latest reading that applies to the copy
        """
        return self._clock.now_ms() - self.part(name).read_ms

    def marks(self) -> list[DirectoryMark]:
        """
        Return the version marks of this host's parts.

        :return: a mark for each part that this host has received
        """
        return [
            self._make_mark(item.state.part)
            for item in self._parts.values()
            if item.state.part.known
        ]

    def tick(self) -> None:
        """Start all readings that are due, and send what is due."""
        for item in self._parts.values():
            item.puller.tick()
        self._reader.start_due([item.state for item in self._parts.values()])
        self.watches.tick()
        self._sender.tick()
        self._gossip.tick(known=self.known)

    async def stop(self) -> None:
        """Cancel readings in progress."""
        self.watches.close()
        await self._reader.stop()

    def _apply_reading(
        self, state: PartState, reading: PartReading, read_ms: float
    ) -> None:
        part = state.part
        order = self._parts[part.name].order
        placed = order.place(part, reading, read_ms)
        if placed is None:
            self._schedule.record_older(state)
            return
        reading = placed
        rank = self._ranking.rank
        first = not part.known
        gap_ms = 0 if first else int(read_ms - part.read_ms)
        retention = self._parts[part.name].retention
        if not first and era_of(reading.revision) > era_of(part.revision):
            retention.record_return(order.returned_ms)
        else:
            retention.record_gap(part, read_ms, revision=reading.revision)
        kept = [] if state.watched else retention.select(part, reading)
        items = [*reading.items, *kept]
        revision = reading.revision
        if kept:
            # A later reading of the same revision removes them.
            revision = max(revision - 1, part.revision)
        changed = part.update(
            items,
            revision=revision,
            read_ms=read_ms,
            reading=self._rng.getrandbits(READING_BITS),
            origin=self.origin,
            origin_ms=int(read_ms),
        )
        behind_ms = self._schedule.end_behind(state)
        if kept:
            state.catch_up_at_ms = retention.until_ms
        self.watches.record_reading(part.name, read_ms, first=first)
        if not changed:
            self._gossip.spread_refresh()
        else:
            self._gossip.spread_change(urgent=state.watched)
            log.info(
                "directory_changed",
                part=part.name,
                revision=format_version(revision),
                items=len(items),
                behind_ms=behind_ms,
                rank=rank,
                gap_ms=gap_ms,
                took_ms=int(self._clock.now_ms() - read_ms),
            )
            self._publish(self._parts[part.name], None)

    def _publish(self, item: FollowedPart, received: Payload | None) -> None:
        item.payloads.record_change(received)
        try:
            self._on_change(item.state.part)
        except Exception:
            # Other hosts may be able to apply it, so it is still distributed.
            log.exception("directory_change_failed", part=item.state.part.name)

    def _make_mark(self, part: DirectoryPart) -> DirectoryMark:
        age_ms = self._clock.now_ms() - part.read_ms
        return DirectoryMark(
            part=part.name,
            revision=part.revision,
            digest=part.digest,
            age_ms=min(int(age_ms), MAX_AGE_MS),
            reading=part.reading,
            origin=part.origin,
            origin_ms=part.origin_ms,
        )

    def _on_marks(self, sender: str, message: DirectoryMarks) -> None:
        self._schedule.record_heard()
        for mark in message.marks:
            item = self._parts.get(mark.part)
            if item is not None and mark.revision >= item.state.part.revision:
                self._compare(sender, mark, item)
        if message.answer:
            self._delay.answered(sender)
        if message.exchange:
            self._gossip.answer(sender)

    def _compare(self, sender: str, mark: DirectoryMark, item: FollowedPart) -> None:
        part = item.state.part
        if part.known and mark.digest == part.digest:
            read_ms = self._clock.now_ms() - self._ages.estimate_ms(mark)
            item.retention.record_gap(part, read_ms, revision=mark.revision)
            refreshed = part.confirm(
                revision=mark.revision,
                read_ms=read_ms,
                reading=mark.reading,
                origin=mark.origin,
                origin_ms=mark.origin_ms,
                refresh_ms=self._cfg.refresh_ms,
            )
            if refreshed:
                self._gossip.spread_refresh()
        elif mark.revision > part.revision:
            if item.state.behind_since_ms is None:
                self._schedule.record_behind(item.state)
                log.info(
                    "directory_behind",
                    part=mark.part,
                    peer=sender,
                    revision=format_version(part.revision),
                    peer_revision=format_version(mark.revision),
                    age_ms=int(self.age_ms(mark.part)),
                )
            item.puller.offer(sender, mark)

    def _on_pull(self, sender: str, pull: DirectoryPull) -> None:
        item = self._parts.get(pull.part)
        if item is None:
            return
        part = item.state.part
        if not part.known or pull.digest == part.digest:
            return
        payload = item.payloads.find(pull.digest)
        numbers: Sequence[int] = range(count_pieces(payload))
        if pull.payload == payload.digest:
            numbers = [number for number in pull.missing if number in numbers]
        self._sender.serve(sender, part, payload, numbers)

    def _on_piece(self, sender: str, piece: DirectoryPiece) -> None:
        mark = piece.mark
        item = self._parts.get(mark.part)
        if item is None or mark.revision <= item.state.part.revision:
            return
        received = item.puller.add(piece)
        if received is None:
            return
        items, payload = received
        part = item.state.part
        read_ms = self._clock.now_ms() - self._ages.estimate_ms(mark)
        item.retention.record_gap(part, read_ms, revision=mark.revision)
        if not part.known:
            self._schedule.record_learned(item.state)
        changed = part.update(
            items,
            revision=mark.revision,
            read_ms=read_ms,
            reading=mark.reading,
            origin=mark.origin,
            origin_ms=mark.origin_ms,
            peer=sender,
        )
        behind_ms = self._schedule.end_behind(item.state)
        if item.puller.pending:
            self._schedule.record_behind(item.state)
        if changed:
            log.info(
                "directory_learned",
                part=mark.part,
                peer=sender,
                revision=format_version(mark.revision),
                items=len(items),
                behind_ms=behind_ms,
                age_ms=int(self.age_ms(mark.part)),
                pulls=item.puller.attempts,
            )
            self._gossip.spread_change(urgent=item.state.watched)
            self._publish(item, payload)
