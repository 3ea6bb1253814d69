"""Calls the store, and records which calls failed."""

import asyncio
from collections.abc import Callable, Sequence

import structlog

from mangohatch.clock import Clock
from mangohatch.directory.schedule import PartState, ReadingSchedule
from mangohatch.directory.source import DirectorySource, PartReading
from mangohatch.errors import StoreError

__all__ = ["StoreReader"]

ALIGN_MS = 250.0  # half the interval, so that any two parts get aligned

log = structlog.get_logger()

OnReading = Callable[[PartState, PartReading, float], None]


class StoreReader:
    """
    Reads parts when they are due, at most one reading of a part at a time.

    :param clock: source of time
    :param source: reads the store
    :param schedule: decides when a part is due
    :param on_reading: called with the state of the part, the reading, and the time at
        which it began, in milliseconds
    :param on_failure: called after a reading that failed
    """

    def __init__(
        self,
        *,
        clock: Clock,
        source: DirectorySource,
        schedule: ReadingSchedule,
        on_reading: OnReading,
        on_failure: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._source = source
        self._schedule = schedule
        self._on_reading = on_reading
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[None]] = set()
        self.calls = 0
        self.failed_calls = 0

    def start_due(self, states: Sequence[PartState]) -> None:
        """
        Start the readings that are due and not in progress.

        With one that is due, those are started that are due soon: parts that are read
        at the same time share the messages that tell other hosts.

        :param states: states of all parts
        """
        now_ms = self._clock.now_ms()
        waits_ms = [
            (self._schedule.due_ms(state) - now_ms, state)
            for state in states
            if not state.read_in_progress
        ]
        if not any(wait_ms <= 0.0 for wait_ms, _ in waits_ms):
            return
        for wait_ms, state in waits_ms:
            spaced = state.failures or not state.part.known or state.watched
            if wait_ms <= (0.0 if spaced else ALIGN_MS):
                self._start(state)

    def read_now(self, state: PartState) -> None:
        """
        Read a part that may have changed.

        :param state: state of the part; a reading in progress is followed by another
        """
        if state.read_in_progress:
            state.read_again = True
        else:
            self._start(state)

    def _start(self, state: PartState) -> None:
        state.read_in_progress = True
        state.read_again = False
        task = asyncio.get_running_loop().create_task(self._read(state))
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    async def stop(self) -> None:
        """Cancel readings in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            log.error("directory_reading_failed", cause=repr(exc))

    async def _read(self, state: PartState) -> None:
        name = state.part.name
        started_ms = self._clock.now_ms()
        self.calls += 1
        try:
            reading = await self._source.read(name, state.part.items)
        except StoreError as exc:
            self._record_failure(state, cause=exc.code, detail=str(exc))
            return
        except Exception as exc:
            # Counts as a failure of the store, so that the next reading is spaced.
            log.exception("directory_reading_failed", part=name)
            self._record_failure(state, cause="unexpected", detail=repr(exc))
            return
        finally:
            state.read_in_progress = False
        if state.failures:
            log.info("store_regained", part=name, failures=state.failures)
        state.failures = 0
        state.retry_at_ms = 0.0
        self._on_reading(state, reading, started_ms)
        if state.read_again:
            self._start(state)

    def _record_failure(self, state: PartState, *, cause: str, detail: str) -> None:
        self.failed_calls += 1
        self._schedule.record_failure(state)
        self._on_failure()
        if state.failures == 1:
            log.warning(
                "store_lost",
                part=state.part.name,
                cause=cause,
                detail=detail,
                rank=self._schedule.rank,
                age_ms=int(self._clock.now_ms() - state.part.read_ms),
            )
