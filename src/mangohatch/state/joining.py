"""Retrieval of the configuration by a new host before it serves requests."""

import asyncio
import itertools
import random
from collections.abc import Callable
from enum import StrEnum

from mangohatch.clock import Clock
from mangohatch.config import StateSettings
from mangohatch.errors import StoreConflict, StoreError
from mangohatch.state.config_table import ConfigTable
from mangohatch.state.distribution import Distribution
from mangohatch.state.reader import ConfigReader
from mangohatch.store.backoff import Backoff
from mangohatch.store.base import ObjectStore
from mangohatch.store.operations import put_resolved, with_operation

__all__ = ["Joining", "Readiness"]

START_KIND = "host_start"
POLL_INTERVAL_MS = 250.0
POLLS_PER_REPEAT = 4
MAX_STALE_READS = 5
STALE_READ_DELAY_MS = 100.0
FIRST_RETRY_MS = 500.0
MS_PER_S = 1000.0


class Readiness(StrEnum):
    """Whether this host may serve requests, and the reason when it may not."""

    READY = "ready"
    STARTING = "starting"
    NOTHING_KNOWN = "nothing_known"


class Joining:
    """
    Makes a host ready once no reachable peer has a newer configuration.

    Reads of the store may be stale. The host therefore writes an object of its own
    first; a read is fresh when its revision is not below that of the write. After
    a fresh read the host is ready when the member list is complete and it has every
    member's objects, or after ``join_wait_ms``. Without a fresh read it becomes ready
    after ``join_wait_ms`` when it has the objects of every peer that reported, and at
    least one of these peers has the complete configuration.

    :param cfg: times of joining
    :param instance: name of this process, unique over hosts and restarts
    :param store: client of the object API
    :param reader: reads the store into the table
    :param table: configuration of this host
    :param distribution: collects the revisions reported by peers
    :param joined: returns whether the member list of the fleet is complete
    :param clock: clock of this host
    :param rng: source of random numbers for operation ids and jitter
    """

    def __init__(
        self,
        *,
        cfg: StateSettings,
        instance: str,
        store: ObjectStore,
        reader: ConfigReader,
        table: ConfigTable,
        distribution: Distribution,
        joined: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.readiness = Readiness.STARTING
        self._cfg = cfg
        self._instance = instance
        self._store = store
        self._reader = reader
        self._table = table
        self._distribution = distribution
        self._joined = joined
        self._clock = clock
        self._rng = rng
        self._has_fresh_read = False

    async def run(self) -> None:
        """Read the store and request revisions from peers until this host is ready."""
        read_task = asyncio.create_task(self._read_until_fresh())
        started_ms = self._clock.now_ms()
        try:
            for poll in itertools.count():
                if self._is_ready(started_ms):
                    break
                self._request_revisions(poll % POLLS_PER_REPEAT == 0)
                await asyncio.sleep(POLL_INTERVAL_MS / MS_PER_S)
        finally:
            read_task.cancel()
            await asyncio.gather(read_task, return_exceptions=True)
        self._table.as_of = max(self._table.revision, 1)
        self._distribution.stop_collecting()
        self.readiness = Readiness.READY

    def _request_revisions(self, repeat: bool) -> None:
        for host_id in self._distribution.peers():
            answered = self._has_answered(host_id)
            if not answered or (
                repeat and not self._distribution.is_caught_up_with(host_id)
            ):
                self._distribution.request_revisions(host_id)

    def _is_ready(self, started_ms: float) -> bool:
        peers = self._distribution.peers()
        waited = self._clock.now_ms() - started_ms >= self._cfg.join_wait_ms
        behind = [
            host for host in peers if not self._distribution.is_caught_up_with(host)
        ]
        if self._has_fresh_read:
            return waited or (self._joined() and not behind)
        if not waited:
            return False
        silent = [host for host in behind if not self._has_answered(host)]
        if len(silent) < len(behind):
            return False
        if any(self._distribution.is_informed_by(host) for host in peers):
            return True
        self.readiness = Readiness.NOTHING_KNOWN
        return False

    def _has_answered(self, host_id: str) -> bool:
        return host_id in self._distribution.peer_revisions

    async def _read_until_fresh(self) -> None:
        backoff = Backoff(
            first_ms=FIRST_RETRY_MS, limit_ms=self._cfg.retry_limit_ms, rng=self._rng
        )
        while not self._has_fresh_read:
            try:
                self._has_fresh_read = await self._try_fresh_read()
            except StoreError:
                self._has_fresh_read = False
            if not self._has_fresh_read:
                await asyncio.sleep(backoff.next_ms() / MS_PER_S)

    async def _try_fresh_read(self) -> bool:
        barrier = await self._write_barrier()
        for _ in range(MAX_STALE_READS):
            revision, _ = await self._reader.read()
            if barrier is not None and revision >= barrier:
                return True
            await asyncio.sleep(STALE_READ_DELAY_MS / MS_PER_S)
        return False

    async def _write_barrier(self) -> int | None:
        host_id = self._instance.partition(":")[0]
        base = await self._store.get(START_KIND, host_id)
        operation_id = f"{self._instance}:{self._rng.getrandbits(64):016x}"
        value = with_operation(
            {"instance": self._instance}, operation_id=operation_id, base=None
        )
        try:
            item = await put_resolved(
                self._store,
                kind=START_KIND,
                name=host_id,
                value=value,
                expected_revision=base.revision if base else None,
                rng=self._rng,
            )
        except StoreConflict:
            return None
        return item.revision
