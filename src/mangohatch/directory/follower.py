"""The system that keeps the directory up to date on all hosts with few store calls."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import structlog

from mangohatch.clock import Clock
from mangohatch.directory.part import DirectoryPart, PartItem
from mangohatch.directory.pieces import PartAssembler, split_part
from mangohatch.directory.source import DirectorySource, PartReading
from mangohatch.errors import StoreError
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.directory import (
    Beacon,
    DirectoryMark,
    DirectoryPiece,
    DirectoryPull,
)
from mangohatch.ranking import rank

__all__ = ["DirectoryFollower", "FollowerSettings"]

PULL_RETRY_MS = 150.0

log = structlog.get_logger()

OnChange = Callable[[DirectoryPart], None]


def do_nothing() -> None:
    """Stand in for a bus without beacons."""


@dataclass(slots=True, kw_only=True, frozen=True)
class FollowerSettings:
    """
    Times of following the store, in milliseconds.

    The first host in the ranking reads each part every ``interval_ms``; the next ones
    step in after ``takeover_ms`` each, when no reading reaches them. After a failed
    reading a host waits between ``backoff_ms`` and ``backoff_limit_ms``. Readings
    further apart than ``outage_ms`` are an outage; items that lapsed in it are kept
    for ``expired_retention_ms`` after its end, while their owners may still come back.
    """

    interval_ms: float = (
        500.0  # a quarter of the time in which a change must be in force
    )
    takeover_ms: float = 250.0
    backoff_ms: float = 300.0
    backoff_limit_ms: float = 1_500.0
    outage_ms: float = 1_800.0
    expired_retention_ms: float = (
        2_200.0  # owners are back about two seconds after the outage
    )


@dataclass(slots=True, kw_only=True)
class PartState:
    """Progress of one part: when to read next, and pieces that arrive from a peer."""

    part: DirectoryPart
    read_in_progress: bool = False
    retry_at_ms: float = 0.0
    failures: int = 0
    retain_until_ms: float = 0.0
    last_pull_ms: float = 0.0
    assembler: PartAssembler = field(default_factory=PartAssembler)


class DirectoryFollower:
    """
    Reads the store when no other host does it, and tells the others what it says.

    Hosts rank themselves by hash over the members that they hear. A host further
    down reads only when the readings of those before it stop arriving, so nobody
    holds an office that could be lost, and two hosts that both read do no harm.

    :param clock: source of time
    :param rng: spreads retries
    :param source: the store
    :param bus: messages to other hosts
    :param on_change: called with each part whose content changed
    :param announce: tells peers the marks at once, after a reading
    :param cfg: times
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        source: DirectorySource,
        bus: PeerBus,
        on_change: OnChange,
        announce: Callable[[], None] = do_nothing,
        cfg: FollowerSettings | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._source = source
        self._bus = bus
        self._on_change = on_change
        self._announce = announce
        self._cfg = cfg or FollowerSettings()
        self._states = {
            name: PartState(part=DirectoryPart(name=name)) for name in source.parts
        }
        self._tasks: set[asyncio.Task[None]] = set()
        self.calls = 0
        self.failed_calls = 0
        bus.subscribe(Beacon, self._on_beacon)
        bus.subscribe(DirectoryPull, self._on_pull)
        bus.subscribe(DirectoryPiece, self._on_piece)

    @property
    def known(self) -> bool:
        """Whether every part was read."""
        return all(state.part.known for state in self._states.values())

    def part(self, name: str) -> DirectoryPart:
        """
        Give a part as it is known here.

        :param name: name of the part
        :return: the part
        """
        return self._states[name].part

    def age_ms(self, name: str) -> float:
        """
        Tell how old the knowledge of a part is.

        :param name: name of the part
        :return: milliseconds since it was true
        """
        return self._clock.now_ms() - self._states[name].part.read_ms

    def marks(self) -> list[DirectoryMark]:
        """
        State what this host knows, for beacons.

        :return: a mark for each part that is known
        """
        return [
            self._make_mark(state.part)
            for state in self._states.values()
            if state.part.known
        ]

    def tick(self) -> None:
        """Start the readings that are due."""
        now_ms = self._clock.now_ms()
        for name, state in self._states.items():
            if not state.read_in_progress and now_ms >= self._due_ms(state):
                state.read_in_progress = True
                task = asyncio.get_running_loop().create_task(self._read(name, state))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """End readings under way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _due_ms(self, state: PartState) -> float:
        cfg = self._cfg
        if not state.part.known:
            return state.retry_at_ms
        due_ms = state.part.read_ms + cfg.interval_ms + self._rank() * cfg.takeover_ms
        return max(due_ms, state.retry_at_ms)

    def _rank(self) -> int:
        own = rank(self._bus.host_id)
        return sum(
            rank(member.host_id) < own
            for member in self._bus.members()
            if not member.leaving
        )

    async def _read(self, name: str, state: PartState) -> None:
        started_ms = self._clock.now_ms()
        self.calls += 1
        try:
            reading = await self._source.read(name, state.part.items)
        except StoreError as exc:
            self._record_failure(state, exc)
            return
        finally:
            state.read_in_progress = False
        if state.failures:
            log.info("store_regained", part=name, failures=state.failures)
        state.failures = 0
        self._apply_reading(state, reading, started_ms)
        self._announce()

    def _record_failure(self, state: PartState, exc: StoreError) -> None:
        cfg = self._cfg
        state.failures += 1
        self.failed_calls += 1
        max_delay_ms = min(cfg.backoff_ms * 2**state.failures, cfg.backoff_limit_ms)
        delay_ms = self._rng.uniform(max_delay_ms / 2, max_delay_ms)
        state.retry_at_ms = self._clock.now_ms() + delay_ms
        if state.failures == 1:
            log.warning(
                "store_lost",
                part=state.part.name,
                cause=exc.code,
                detail=str(exc),
                age_ms=int(self.age_ms(state.part.name)),
            )

    def _apply_reading(
        self, state: PartState, reading: PartReading, read_ms: float
    ) -> None:
        part = state.part
        now_ms = self._clock.now_ms()
        if part.known and read_ms - part.read_ms > self._cfg.outage_ms:
            state.retain_until_ms = now_ms + self._cfg.expired_retention_ms
        items = list(reading.items)
        if now_ms < state.retain_until_ms:
            items += self._expired_items(part, items)
        self._update_part(state, items, revision=reading.revision, read_ms=read_ms)

    def _expired_items(
        self, part: DirectoryPart, items: Sequence[PartItem]
    ) -> list[PartItem]:
        names = {item.name for item in items}
        kept = [item for item in part.items.values() if item.name not in names]
        if kept:
            log.info(
                "lapsed_entries_kept",
                part=part.name,
                names=",".join(item.name for item in kept),
            )
        return kept

    def _update_part(
        self,
        state: PartState,
        items: Sequence[PartItem],
        *,
        revision: int,
        read_ms: float,
    ) -> None:
        part = state.part
        if not part.update(items, revision=revision, read_ms=read_ms):
            return
        log.info(
            "directory_changed", part=part.name, revision=revision, items=len(items)
        )
        self._on_change(part)
        for piece in split_part(part, self._make_mark(part)):
            self._bus.broadcast(piece)

    def _make_mark(self, part: DirectoryPart) -> DirectoryMark:
        age_ms = self._clock.now_ms() - part.read_ms
        return DirectoryMark(
            part=part.name,
            revision=part.revision,
            digest=part.digest,
            age_ms=min(int(age_ms), 2**31 - 1),
        )

    def _on_beacon(self, sender: str, beacon: Beacon) -> None:
        now_ms = self._clock.now_ms()
        for mark in beacon.marks:
            state = self._states.get(mark.part)
            if state is None or mark.revision < state.part.revision:
                continue
            if state.part.known and mark.digest == state.part.digest:
                state.part.confirm(revision=mark.revision, read_ms=now_ms - mark.age_ms)
            elif mark.revision > state.part.revision:
                if now_ms - state.last_pull_ms >= PULL_RETRY_MS:
                    state.last_pull_ms = now_ms
                    self._bus.send(sender, DirectoryPull(part=mark.part))

    def _on_pull(self, sender: str, pull: DirectoryPull) -> None:
        state = self._states.get(pull.part)
        if state is not None and state.part.known:
            for piece in split_part(state.part, self._make_mark(state.part)):
                self._bus.send(sender, piece)

    def _on_piece(self, sender: str, piece: DirectoryPiece) -> None:
        mark = piece.mark
        state = self._states.get(mark.part)
        if state is None or mark.revision <= state.part.revision:
            return
        items = state.assembler.add(piece)
        if items is None:
            return
        read_ms = self._clock.now_ms() - mark.age_ms
        if state.part.update(items, revision=mark.revision, read_ms=read_ms):
            log.info(
                "directory_learned",
                part=mark.part,
                peer=sender,
                revision=mark.revision,
                items=len(items),
            )
            self._on_change(state.part)
