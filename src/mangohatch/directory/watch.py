"""Waits at the store for changes of a part."""

import asyncio
import math
import random
from collections.abc import Callable, Iterable

import structlog

from mangohatch.clock import Clock
from mangohatch.directory.ranking import ReaderRanking
from mangohatch.directory.schedule import PartState
from mangohatch.directory.settings import FollowerSettings
from mangohatch.directory.source import DirectorySource
from mangohatch.directory.version import revision_of
from mangohatch.errors import StoreError

__all__ = ["READING_BITS", "PartWatch", "PartWatches"]

READING_BITS = 31
QUICK_RETURN_MS = 1_000.0
MAX_DOUBLINGS = 8  # of 200 ms, which is 51 s

log = structlog.get_logger()


class PartWatch:
    """
    Keeps a call open at the store that returns when a part changes.

    Designed for parts that change rarely and must be in force on all hosts within a
    second, for which reading twice a second is both too slow and too expensive. The
    first ``watchers`` hosts of the ranking keep a call open, and so does a host that
    took over the readings because those of the first ones stopped arriving.

    A call that returned says only that there may be a change; the part is then read.
    A connection may break without a sign, so an open call is taken for a current
    reading only while other readings of this host succeed. After a failed one it is
    opened anew, and is not relied on until this host has read the part. A store that
    returns at once without a change is asked ever less often, as the part is then read
    like any other.

    ``read_ms`` is when the latest reading of the part by this host began.

    :param clock: source of time
    :param rng: numbers readings, and spreads retries
    :param source: reads the store
    :param ranking: rank of this host
    :param state: progress of the part
    :param cfg: intervals and delays
    :param origin: number of this process in the marks of its readings
    :param on_return: called when the part may have changed
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        source: DirectorySource,
        ranking: ReaderRanking,
        state: PartState,
        cfg: FollowerSettings,
        origin: int,
        on_return: Callable[[PartState], None],
    ) -> None:
        self.calls = 0
        self.failed_calls = 0
        self._clock = clock
        self._rng = rng
        self._source = source
        self._ranking = ranking
        self._state = state
        self._cfg = cfg
        self._origin = origin
        self._on_return = on_return
        self._task: asyncio.Task[None] | None = None
        self._opened_ms = 0.0
        self._due_ms = 0.0
        self._failures = 0
        self._quick_returns = 0
        self._opened_digest = 0
        self._own_reading = 0
        self._reliable = True
        self.read_ms = -math.inf

    def tick(self) -> None:
        """Open or close the call by the rank of this host."""
        part = self._state.part
        now_ms = self._clock.now_ms()
        first = self._ranking.rank < self._cfg.watchers
        if not first and part.reading != self._own_reading:
            self.close()
            return
        if self._task is not None or not part.known or now_ms < self._due_ms:
            return
        self._opened_ms = now_ms
        self._opened_digest = part.digest
        self._due_ms = now_ms + self._cfg.watch_spacing_ms
        self.calls += 1
        self._state.watch_open = True
        self._task = asyncio.get_running_loop().create_task(self._wait(part.revision))

    def record_reading(self, read_ms: float, *, first: bool) -> None:
        """
        Open the call anew after a reading of the part by this host.

        :param read_ms: time at which the reading began, in milliseconds
        :param first: whether the part was unknown before, so that the reading does not
            show that others have stopped
        """
        part = self._state.part
        self.read_ms = read_ms
        self._reliable = True
        if not first:
            self._own_reading = part.reading
        if part.digest != self._opened_digest:
            self._quick_returns = 0
        self.close()
        self.tick()

    def confirm(self, read_ms: float) -> None:
        """
        Take the open call for a reading, because the store has answered another one.

        :param read_ms: time at which the other reading began, in milliseconds
        """
        part = self._state.part
        if not self._state.watch_open or not self._reliable:
            return
        if self._opened_ms >= read_ms:
            return
        # The revision stays: a change before the other reading may be on its way.
        reading = self._rng.getrandbits(READING_BITS)
        if part.confirm(
            revision=part.revision,
            read_ms=read_ms,
            reading=reading,
            origin=self._origin,
            origin_ms=int(read_ms),
            refresh_ms=0.0,
        ):
            self._own_reading = reading

    def close(self) -> None:
        """Give up the open call, if there is one."""
        self._state.watch_open = False
        task, self._task = self._task, None
        if task is not None:
            task.cancel()

    def record_failure(self) -> None:
        """Give up the open call after a reading that failed."""
        self._reliable = False
        self.close()

    async def _wait(self, revision: int) -> None:
        name = self._state.part.name
        try:
            await self._source.watch(name, revision_of(revision))
        except StoreError as exc:
            self._record_failure(cause=exc.code, detail=str(exc))
            return
        except Exception as exc:
            log.exception("directory_watch_failed", part=name)
            self._record_failure(cause="unexpected", detail=repr(exc))
            return
        self._task = None
        self._state.watch_open = False
        self._failures = 0
        if self._clock.now_ms() - self._opened_ms < QUICK_RETURN_MS:
            self._quick_returns = min(self._quick_returns + 1, MAX_DOUBLINGS)
        else:
            self._quick_returns = 0
        spacing_ms = self._cfg.watch_spacing_ms * 2 ** max(0, self._quick_returns - 1)
        self._due_ms = self._opened_ms + spacing_ms
        self._on_return(self._state)

    def _record_failure(self, *, cause: str, detail: str) -> None:
        cfg = self._cfg
        self._task = None
        self._state.watch_open = False
        self.failed_calls += 1
        self._failures += 1
        limit_ms = min(cfg.backoff_ms * 2**self._failures, cfg.backoff_limit_ms)
        delay_ms = self._rng.uniform(limit_ms / 2, limit_ms)
        self._due_ms = self._clock.now_ms() + delay_ms
        if self._failures == 1:
            log.warning(
                "directory_watch_lost",
                part=self._state.part.name,
                cause=cause,
                detail=detail,
            )


class PartWatches:
    """
    The open calls of a host for all watched parts.

    :param clock: source of time
    :param rng: numbers readings, and spreads retries
    :param source: reads the store
    :param ranking: rank of this host
    :param states: progress of all parts
    :param cfg: intervals and delays
    :param origin: number of this process in the marks of its readings
    :param on_return: called with a part that may have changed
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        source: DirectorySource,
        ranking: ReaderRanking,
        states: Iterable[PartState],
        cfg: FollowerSettings,
        origin: int,
        on_return: Callable[[PartState], None],
    ) -> None:
        self._clock = clock
        self._on_return = on_return
        self._failed_ms = -math.inf
        self._states = [state for state in states if state.part.name in source.watched]
        self._watches: dict[str, PartWatch] = {}
        for state in self._states:
            state.watched = True
            self._watches[state.part.name] = PartWatch(
                clock=clock,
                rng=rng,
                source=source,
                ranking=ranking,
                state=state,
                cfg=cfg,
                origin=origin,
                on_return=on_return,
            )

    @property
    def calls(self) -> int:
        """Number of calls to the store."""
        return sum(watch.calls for watch in self._watches.values())

    @property
    def failed_calls(self) -> int:
        """Number of calls that ended without an answer."""
        return sum(watch.failed_calls for watch in self._watches.values())

    def record_reading(self, part: str, read_ms: float, *, first: bool) -> None:
        """
        Record that this host has read a part.

        :param part: name of the part
        :param first: whether the part was unknown before
        :param read_ms: time at which the reading began, in milliseconds
        """
        own = self._watches.get(part)
        if own is not None:
            own.record_reading(read_ms, first=first)
            return
        for watch in self._watches.values():
            watch.confirm(read_ms)

    def read_again(self) -> None:
        """Read all watched parts, as this host may have missed changes of them."""
        for state in self._states:
            self._on_return(state)

    def has_read_since(self, since_ms: float) -> bool:
        """
        Return whether this host has tried to read all watched parts since a time.

        :param since_ms: monotonic time in milliseconds
        :return: True also after a failed reading, as nothing newer can be known then
        """
        read_ms = (watch.read_ms for watch in self._watches.values())
        return self._failed_ms >= since_ms or all(
            at_ms >= since_ms for at_ms in read_ms
        )

    def tick(self) -> None:
        """Open the calls that are due."""
        for watch in self._watches.values():
            watch.tick()

    def record_failure(self) -> None:
        """Give up all open calls after a reading that failed."""
        self._failed_ms = self._clock.now_ms()
        for watch in self._watches.values():
            watch.record_failure()

    def close(self) -> None:
        """Give up all open calls."""
        for watch in self._watches.values():
            watch.close()
