"""Leaseholder tasks that watch the store and push changes and heartbeats."""

import asyncio
import random

import structlog

from mangohatch.clock import Clock
from mangohatch.config import StateSettings
from mangohatch.errors import StoreError
from mangohatch.state.distribution import Distribution
from mangohatch.state.lease import Lease
from mangohatch.state.leaseholder_task import LeaseholderTask
from mangohatch.state.reader import ConfigReader
from mangohatch.store.backoff import Backoff

__all__ = ["Heartbeat", "Watcher"]

FIRST_RETRY_MS = 50.0
RETRY_LIMIT_MS = 1000.0
MAX_STALE_READS = 5
STALE_READ_DELAY_MS = 100.0
MS_PER_S = 1000.0

log = structlog.get_logger()


class Watcher(LeaseholderTask):
    """
    Watches the store while this host holds the lease.

    A read with a revision below that of this host's own lease write is stale and is
    repeated. The whole configuration is read again every ``relist_ms``.
    """

    def __init__(
        self,
        *,
        cfg: StateSettings,
        reader: ConfigReader,
        distribution: Distribution,
        lease: Lease,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._reader = reader
        self._distribution = distribution
        self._lease = lease
        self._clock = clock
        self._rng = rng

    async def run(self, epoch: int) -> None:
        backoff = Backoff(
            first_ms=FIRST_RETRY_MS, limit_ms=RETRY_LIMIT_MS, rng=self._rng
        )
        while True:
            try:
                revision = await self._read_fresh()
                backoff.reset()
                await self._follow(revision)
            except StoreError as exc:
                log.info("config_watch_broke", code=exc.code, epoch=epoch)
            await asyncio.sleep(backoff.next_ms() / MS_PER_S)

    async def _read_fresh(self) -> int:
        barrier = self._lease.revision
        for _ in range(MAX_STALE_READS):
            revision, fresh = await self._reader.read()
            self._distribution.push_as_holder(fresh)
            if revision >= barrier:
                return revision
            await asyncio.sleep(STALE_READ_DELAY_MS / MS_PER_S)
        log.warning("config_read_stale", revision=revision, barrier=barrier)
        return revision

    async def _follow(self, since: int) -> None:
        until_ms = self._clock.now_ms() + self._cfg.relist_ms
        async for fresh in self._reader.follow(since, self._cfg.watch_silence_ms):
            if fresh:
                self._distribution.push_as_holder(fresh)
            if self._clock.now_ms() >= until_ms:
                return


class Heartbeat(LeaseholderTask):
    """Sends heartbeats that show peers that this host holds the lease."""

    def __init__(self, *, interval_ms: float, distribution: Distribution) -> None:
        self._interval_ms = interval_ms
        self._distribution = distribution

    async def run(self, epoch: int) -> None:
        while True:
            self._distribution.push_as_holder([])
            await asyncio.sleep(self._interval_ms / MS_PER_S)
