"""Writes the results of claims to the store in the background."""

import asyncio
import random
from contextlib import AbstractAsyncContextManager, nullcontext
from dataclasses import dataclass, replace

import structlog

from mangohatch.claims.record import ClaimRecord, ClaimState, claim_kind, read_claim
from mangohatch.errors import StoreConflict, StoreError
from mangohatch.store.backoff import Backoff
from mangohatch.store.base import ObjectStore, StoredObject
from mangohatch.store.operations import (
    holds_operation,
    put_resolved,
    with_operation,
)

__all__ = ["ClaimResult", "ResultWriter"]

FIRST_RETRY_MS = 50.0
RETRY_LIMIT_MS = 5000.0
WRITER_COUNT = 8
MAX_MISSED_READS = 6
WRITE_ATTEMPTS = 2
REREAD_LIMIT_MS = 1000.0
MAX_WAITING_BODY_BYTES = 8 * 1024 * 1024
MS_PER_S = 1000.0
UNRESOLVED_STATES = (ClaimState.RUNNING, ClaimState.UNKNOWN)

log = structlog.get_logger()


@dataclass(slots=True, kw_only=True)
class ClaimResult:
    """
    Result of an attempt, to be written to its claim.

    ``base`` is the claim object as last read from the store. ``missed_reads`` counts
    reads that did not show the attempt, because they were stale or the claim has
    been deleted.
    """

    name: str
    record: ClaimRecord
    base: StoredObject | None
    missed_reads: int = 0

    @property
    def operation_id(self) -> str:
        """Operation id of the write."""
        return f"{self.record.attempt}:{self.record.state.value}"

    @property
    def body_bytes(self) -> int:
        """Size of the kept answer body in bytes."""
        answer = self.record.answer
        return len(answer.body) if answer and answer.body else 0


class ResultWriter:
    """
    Writes results in the background.

    A result is retried until it is written, or until :data:`MAX_MISSED_READS` reads
    did not show its attempt.

    Memory is bounded: a result that would raise the total size of waiting bodies
    above ``MAX_WAITING_BODY_BYTES`` is kept without its body, and the registry makes
    no claim while ``full``.

    :param store: store that holds the claims
    :param rng: source of the backoff jitter
    :param limit: maximum number of waiting results
    """

    def __init__(self, *, store: ObjectStore, rng: random.Random, limit: int) -> None:
        self._store = store
        self._rng = rng
        self._limit = limit
        self._waiting: asyncio.Queue[ClaimResult] = asyncio.Queue()
        self._pending: dict[str, ClaimResult] = {}
        self._bodies_bytes = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._failing = False
        self._probe_lock = asyncio.Lock()
        self._backoff = Backoff(
            first_ms=FIRST_RETRY_MS, limit_ms=RETRY_LIMIT_MS, rng=rng
        )

    @property
    def full(self) -> bool:
        """Whether the maximum number of results is waiting."""
        return len(self._pending) >= self._limit

    @property
    def pending(self) -> int:
        """Number of results that are not yet written."""
        return len(self._pending)

    def add(self, result: ClaimResult) -> None:
        """
        Queue a result for writing.

        :param result: result of an attempt
        """
        if self._bodies_bytes + result.body_bytes > MAX_WAITING_BODY_BYTES:
            result.record = drop_body(result.record)
        self._bodies_bytes += result.body_bytes
        self._pending[result.name] = result
        self._waiting.put_nowait(result)

    def find(self, name: str) -> ClaimResult | None:
        """
        Find a result that is not yet written.

        :param name: name of the claim object
        :return: the result; None if no result of this claim is waiting
        """
        return self._pending.get(name)

    def start(self) -> None:
        """Start the background writers."""
        self._tasks = [asyncio.create_task(self._run()) for _ in range(WRITER_COUNT)]

    async def flush(self, timeout_ms: float) -> int:
        """
        Wait at shutdown until the results are written.

        :param timeout_ms: maximum wait in milliseconds
        :return: number of results that were not written
        """
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                await self._waiting.join()
        except TimeoutError:
            log.warning("claim_results_lost", count=len(self._pending))
        return len(self._pending)

    async def stop(self) -> None:
        """Stop the background writers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            result = await self._waiting.get()
            try:
                await self._write_until_done(result)
            finally:
                self._pending.pop(result.name, None)
                self._bodies_bytes -= result.body_bytes
                self._waiting.task_done()

    async def _write_until_done(self, result: ClaimResult) -> None:
        reread = Backoff(
            first_ms=FIRST_RETRY_MS, limit_ms=REREAD_LIMIT_MS, rng=self._rng
        )
        while True:
            async with self._limit_writers():
                if await self._try_write(result):
                    return
                if self._failing:
                    await asyncio.sleep(self._backoff.next_ms() / MS_PER_S)
                    continue
            await asyncio.sleep(reread.next_ms() / MS_PER_S)

    def _limit_writers(self) -> AbstractAsyncContextManager[None]:
        """Return a guard that admits one writer at a time while the store fails."""
        return self._probe_lock if self._failing else nullcontext()

    async def _try_write(self, result: ClaimResult) -> bool:
        try:
            done = await self._write(result)
        except StoreError as exc:
            self._failing = True
            log.info("claim_result_waits", code=exc.code, name=result.name)
            return False
        self._failing = False
        self._backoff.reset()
        return done

    async def _write(self, result: ClaimResult) -> bool:
        base = result.base or await self._store.get(
            claim_kind(result.name), result.name
        )
        result.base = None
        if holds_operation(base, result.operation_id):
            return True
        if base is None or not awaits_result(base, result.record.attempt):
            result.missed_reads += 1
            return result.missed_reads >= MAX_MISSED_READS
        value = with_operation(
            result.record.value(), operation_id=result.operation_id, base=base
        )
        try:
            await put_resolved(
                self._store,
                kind=claim_kind(result.name),
                name=result.name,
                value=value,
                expected_revision=base.revision,
                rng=self._rng,
                attempts=WRITE_ATTEMPTS,
            )
        except StoreConflict:
            return False
        except StoreError:
            result.base = base
            raise
        return True


def awaits_result(item: StoredObject, attempt: str) -> bool:
    """
    Return whether a claim still awaits the result of an attempt.

    :param item: the claim object
    :param attempt: id of the attempt
    :return: whether the result of the attempt may be written
    """
    record = read_claim(item.value)
    if record is None or record.attempt != attempt:
        return False
    return record.state in UNRESOLVED_STATES


def drop_body(record: ClaimRecord) -> ClaimRecord:
    """
    Return a copy of a claim whose answer has no body.

    :param record: the claim
    :return: the copy, or the claim itself if it has no answer
    """
    if record.answer is None:
        return record
    return replace(record, answer=replace(record.answer, body=None))
