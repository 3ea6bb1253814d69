"""Registry of keyed requests, stored in the object API of the platform."""

import asyncio
import itertools
import random

from mangohatch.claims.attempt import Attempt
from mangohatch.claims.breaker import StoreBreaker
from mangohatch.claims.record import (
    ClaimRecord,
    ClaimState,
    claim_kind,
    claim_name,
    read_claim,
)
from mangohatch.claims.registry import Answer, ClaimRegistry, ClaimTicket
from mangohatch.claims.results import ClaimResult, ResultWriter
from mangohatch.clock import Clock
from mangohatch.config import ClaimSettings
from mangohatch.errors import (
    ClaimKeyMismatch,
    ClaimUnavailable,
    Outcome,
    OutcomeUnknown,
    RequestError,
    RequestInProgress,
    StoreConflict,
    StoreError,
    StoreRateLimited,
    StoreWriteUnknown,
)
from mangohatch.store.base import ObjectStore, StoredObject
from mangohatch.store.operations import put_resolved, with_operation

__all__ = ["StoreClaimRegistry", "StoreTicket"]

CLAIM_ATTEMPTS = 4
REREAD_DELAY_MS = 20.0
DEADLINE_GRACE_MS = 1000.0
MS_PER_S = 1000.0

STATE_OF_OUTCOME = {
    Outcome.DONE: ClaimState.DONE,
    Outcome.NOT_RUN: ClaimState.NOT_RUN,
    Outcome.UNKNOWN: ClaimState.UNKNOWN,
}


class StoreTicket(ClaimTicket):
    """Permission to run a request whose claim is in the store."""

    def __init__(
        self, *, registry: "StoreClaimRegistry", attempt: Attempt, base: StoredObject
    ) -> None:
        self._registry = registry
        self._attempt = attempt
        self._base = base
        self._finished = False

    async def finish(self, outcome: Outcome, answer: Answer | None) -> None:
        if self._finished:
            return
        self._finished = True
        self._registry.end(self._attempt, STATE_OF_OUTCOME[outcome], answer, self._base)


class StoreClaimRegistry(ClaimRegistry):
    """
    Keeps one claim object per key in the store.

    A key is claimed by a conditional write before its request is sent. An existing
    claim can be claimed again only in the state ``not_run``. The state ``running``
    counts as unknown once the deadline has passed. No keyed request is run while the
    store is unavailable.

    :param host_id: id of this host
    :param cfg: limits of the registry
    :param store: the store, limited by the call budget of claims
    :param clock: clock of this host
    :param rng: source of attempt ids and backoff jitter
    """

    writer_type = ResultWriter

    def __init__(
        self,
        *,
        host_id: str,
        cfg: ClaimSettings,
        store: ObjectStore,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._host_id = host_id
        self._cfg = cfg
        self._store = store
        self._clock = clock
        self._rng = rng
        self._instance = f"{host_id}:{rng.getrandbits(64):016x}"
        self._sequence = itertools.count(1)
        self._running: dict[str, Attempt] = {}
        self._breaker = StoreBreaker(clock=clock, rng=rng)
        self._leaving = False
        self.results = self.writer_type(store=store, rng=rng, limit=cfg.pending_results)

    async def start(self) -> None:
        """Start the background writers of results."""
        self.results.start()

    async def stop(self, timeout_ms: float) -> int:
        """
        Refuse new claims and write the waiting results.

        :param timeout_ms: maximum wait in milliseconds
        :return: number of results that were not written
        """
        self._leaving = True
        remaining = await self.results.flush(timeout_ms)
        await self.results.stop()
        return remaining

    async def begin(
        self, *, service: str, key: str, request_id: str, deadline_ms: float
    ) -> ClaimTicket | Answer:
        name = claim_name(service, key)
        known = self._answer_from_memory(name)
        if known is not None:
            return known
        self._admit()
        attempt = self._make_attempt(name, service, key, deadline_ms)
        self._running[name] = attempt
        claimed = False
        try:
            result = await self._claim(attempt)
            claimed = isinstance(result, StoreTicket)
            return result
        finally:
            if not claimed and self._running.get(name) is attempt:
                del self._running[name]

    def end(
        self,
        attempt: Attempt,
        state: ClaimState,
        answer: Answer | None,
        base: StoredObject | None,
    ) -> None:
        """
        Record how an attempt ended and write the result in the background.

        :param attempt: the attempt
        :param state: done, not run or unknown
        :param answer: the complete answer, if the state is done
        :param base: the claim object; None if it may not exist
        """
        if self._running.get(attempt.name) is attempt:
            del self._running[attempt.name]
        kept = self._limit_body(answer) if state is ClaimState.DONE else None
        record = attempt.record.with_result(state, kept, self._clock.wall_ms())
        self.results.add(ClaimResult(name=attempt.name, record=record, base=base))

    def _answer_from_memory(self, name: str) -> Answer | None:
        running = self._running.get(name)
        if running is not None:
            if running.deadline_ms + DEADLINE_GRACE_MS > self._clock.now_ms():
                raise self._make_in_progress()
            del self._running[name]
        ended = self.results.find(name)
        if ended is None:
            return None
        if ended.record.state is ClaimState.NOT_RUN:
            raise self._make_in_progress()
        return self._replay(ended.record)

    def _admit(self) -> None:
        if self._leaving:
            raise self._make_unavailable("this host is leaving")
        if self.results.full:
            raise self._make_unavailable("too many results wait for the store")
        if not self._breaker.admit():
            raise self._make_unavailable("the store does not answer")

    def _make_attempt(
        self, name: str, service: str, key: str, deadline_ms: float
    ) -> Attempt:
        wall_ms = self._clock.wall_ms()
        record = ClaimRecord(
            service=service,
            key=key,
            state=ClaimState.RUNNING,
            host=self._host_id,
            attempt=f"{self._instance}:{next(self._sequence)}",
            deadline_wall_ms=wall_ms + deadline_ms - self._clock.now_ms(),
            changed_wall_ms=wall_ms,
        )
        return Attempt(name=name, record=record, deadline_ms=deadline_ms)

    async def _claim(self, attempt: Attempt) -> ClaimTicket | Answer:
        remaining_ms = attempt.deadline_ms - self._clock.now_ms()
        try:
            async with asyncio.timeout(max(remaining_ms, 0.0) / MS_PER_S):
                result = await self._write_claim(attempt)
        except StoreWriteUnknown as exc:
            self._abandon(attempt)
            raise self._make_unavailable("the claim got no answer") from exc
        except StoreRateLimited as exc:
            self._breaker.record_no_result()
            raise ClaimUnavailable(
                "too many calls to the store", retry_after_ms=exc.retry_after_ms
            ) from exc
        except StoreError as exc:
            self._breaker.record_failure()
            raise self._make_unavailable("the store does not answer") from exc
        except TimeoutError as exc:
            self._abandon(attempt)
            raise self._make_unavailable("the claim took too long") from exc
        except RequestError:
            self._breaker.record_success()
            raise
        except asyncio.CancelledError:
            self._breaker.record_no_result()
            self.end(attempt, ClaimState.NOT_RUN, None, None)
            raise
        self._breaker.record_success()
        late = self._clock.now_ms() >= attempt.deadline_ms
        if late and isinstance(result, StoreTicket):
            await result.finish(Outcome.NOT_RUN, None)
            raise self._make_unavailable("the claim took too long")
        return result

    async def _write_claim(self, attempt: Attempt) -> ClaimTicket | Answer:
        base: StoredObject | None = None
        for _ in range(CLAIM_ATTEMPTS):
            try:
                item = await self._put(attempt, base)
                return StoreTicket(registry=self, attempt=attempt, base=item)
            except StoreConflict:
                found = await self._store.get(claim_kind(attempt.name), attempt.name)
            if found is None or (base is not None and found.revision <= base.revision):
                await asyncio.sleep(REREAD_DELAY_MS / MS_PER_S)
                continue
            record = read_claim(found.value)
            if record is None or not self._same_key(record, attempt.record):
                raise ClaimKeyMismatch("the claim of this key holds another key")
            if record.state is not ClaimState.NOT_RUN:
                return self._replay(record)
            base = found
        raise self._make_in_progress()

    async def _put(self, attempt: Attempt, base: StoredObject | None) -> StoredObject:
        value = with_operation(
            attempt.record.value(), operation_id=attempt.operation_id, base=base
        )
        return await put_resolved(
            self._store,
            kind=claim_kind(attempt.name),
            name=attempt.name,
            value=value,
            expected_revision=base.revision if base else None,
            rng=self._rng,
        )

    def _replay(self, record: ClaimRecord) -> Answer:
        if record.state is ClaimState.DONE and record.answer is not None:
            return record.answer
        past_ms = self._clock.wall_ms() - record.deadline_wall_ms
        if record.state is ClaimState.RUNNING and past_ms < DEADLINE_GRACE_MS:
            raise self._make_in_progress()
        raise OutcomeUnknown("the outcome of the first attempt is not known")

    def _abandon(self, attempt: Attempt) -> None:
        self._breaker.record_failure()
        self.end(attempt, ClaimState.NOT_RUN, None, None)

    def _limit_body(self, answer: Answer | None) -> Answer | None:
        if answer is None or answer.body is None:
            return answer
        if len(answer.body) <= self._cfg.body_bytes:
            return answer
        return Answer(status=answer.status, headers=answer.headers, body=None)

    def _make_in_progress(self) -> RequestInProgress:
        return RequestInProgress(
            "a request with this key has not ended",
            retry_after_ms=self._cfg.retry_after_ms,
        )

    def _make_unavailable(self, detail: str) -> ClaimUnavailable:
        return ClaimUnavailable(detail, retry_after_ms=self._cfg.retry_after_ms)

    def _same_key(self, one: ClaimRecord, other: ClaimRecord) -> bool:
        return (one.service, one.key) == (other.service, other.key)
