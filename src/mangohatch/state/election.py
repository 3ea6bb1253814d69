"""Election of the host that watches the store for all hosts."""

import asyncio
import random
from collections.abc import Sequence

import structlog

from mangohatch.clock import Clock
from mangohatch.config import StateSettings
from mangohatch.errors import StoreError
from mangohatch.state.distribution import Distribution
from mangohatch.state.lease import Lease, read_lease
from mangohatch.state.leaseholder_task import LeaseholderTask
from mangohatch.state.ranking import rank_hosts
from mangohatch.state.reader import ConfigReader
from mangohatch.store.backoff import Backoff
from mangohatch.store.base import StoredObject
from mangohatch.timeline.event import EventKind
from mangohatch.timeline.recorder import Recorder

__all__ = ["Election"]

FIRST_RETRY_MS = 250.0
RETRY_LIMIT_PER_RANK_MS = 2000.0
STANDBY_CHECK_MS = 100.0
MS_PER_S = 1000.0

log = structlog.get_logger()


class Election:
    """
    Holds the watch lease, or waits as a standby to acquire it.

    A standby does not call the store while it receives pushes from the holder.
    After ``suspicion_ms`` without a push, plus ``rank_delay_ms`` for each standby
    that precedes it, a standby contests the lease. It acquires a free lease at once.
    Otherwise it reads the store on behalf of its peers and waits for the duration of
    the lease; it acquires the lease then, unless the lease object has changed or a
    push of a holder has arrived.

    :param cfg: times of the election
    :param host_id: id of this host
    :param lease: the watch lease
    :param reader: reads the store into the table
    :param distribution: sends pushes and records those received from the holder
    :param clock: clock of this host
    :param rng: random source for the jitter
    :param recorder: time line that receives the events
    """

    def __init__(
        self,
        *,
        cfg: StateSettings,
        host_id: str,
        lease: Lease,
        reader: ConfigReader,
        distribution: Distribution,
        clock: Clock,
        rng: random.Random,
        recorder: Recorder,
    ) -> None:
        self.leaseholder_tasks: list[LeaseholderTask] = []
        self._cfg = cfg
        self._host_id = host_id
        self._lease = lease
        self._reader = reader
        self._distribution = distribution
        self._clock = clock
        self._rng = rng
        self._recorder = recorder
        self._store_unavailable = False
        self._backoff = Backoff(
            first_ms=FIRST_RETRY_MS, limit_ms=cfg.retry_limit_ms, rng=rng
        )

    async def run(self) -> None:
        """Alternate between standby and holder until cancelled."""
        while True:
            await self._wait_as_standby()
            try:
                won = await self._contest()
                self._record_store_state(True)
            except StoreError as exc:
                self._record_store_state(False, exc)
                await asyncio.sleep(self._retry_ms() / MS_PER_S)
                continue
            if won:
                await self._hold()
            else:
                await asyncio.sleep(self._contest_delay_ms() / MS_PER_S)

    async def stop(self) -> None:
        """Release the lease if it is held; call after :meth:`run` was cancelled."""
        if not self._lease.held():
            return
        try:
            async with asyncio.timeout(self._cfg.store_timeout_ms / MS_PER_S):
                await self._lease.release()
        except (StoreError, TimeoutError):
            log.info("lease_not_released", epoch=self._lease.epoch)

    def rank(self) -> int:
        """
        Return how many live hosts precede this one in the order of standbys.

        :return: 0 for the first standby
        """
        hosts = [*self._distribution.peers(), self._host_id]
        if len(hosts) > 1 and self._distribution.holder in hosts:
            hosts.remove(self._distribution.holder)
        if self._host_id not in hosts:
            return len(hosts)
        return rank_hosts(hosts).index(self._host_id)

    async def _wait_as_standby(self) -> None:
        jitter_ms = self._rng.uniform(0.0, self._cfg.rank_delay_ms / 2)
        while True:
            silence_ms = self._silence_ms()
            if silence_ms >= self._cfg.suspicion_ms and self._may_contest(
                silence_ms - jitter_ms
            ):
                return
            await asyncio.sleep(STANDBY_CHECK_MS / MS_PER_S)

    def _may_contest(self, silence_ms: float) -> bool:
        rank = self.rank()
        if rank >= self._cfg.relay_above:
            return False
        limit_ms = self._cfg.suspicion_ms + rank * self._cfg.rank_delay_ms
        return silence_ms >= limit_ms

    def _silence_ms(self) -> float:
        received_ms = max(
            self._distribution.last_holder_push_ms,
            self._distribution.last_reader_push_ms,
        )
        return self._clock.now_ms() - received_ms

    async def _contest(self) -> bool:
        item = await self._lease.read()
        if not self._lease.is_free(item):
            read_ms = self._clock.now_ms()
            _, fresh = await self._reader.read()
            self._distribution.push_as_reader(fresh)
            if not await self._wait_for_expiry(item, read_ms):
                return False
        return await self._lease.acquire(item, above_epoch=self._distribution.epoch)

    async def _wait_for_expiry(self, item: StoredObject | None, read_ms: float) -> bool:
        record = read_lease(item)
        assert record is not None
        until_ms = read_ms + record.duration_ms
        while self._clock.now_ms() < until_ms:
            await asyncio.sleep(self._cfg.heartbeat_ms / MS_PER_S)
            if self._distribution.last_holder_push_ms > read_ms:
                return False
            self._distribution.push_as_reader([])
        return True

    async def _hold(self) -> None:
        epoch = self._lease.epoch
        self._backoff.reset()
        self._recorder.record(EventKind.WATCHER_CHANGED, cause=f"epoch {epoch}")
        log.info("lease_acquired", host=self._host_id, epoch=epoch)
        tasks = [
            asyncio.create_task(work.run(epoch)) for work in self.leaseholder_tasks
        ]
        try:
            await self._renew_until_lost(tasks)
        finally:
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            for result in results:
                if isinstance(result, Exception):
                    log.error("duty_failed", exc_info=result)
        log.info("lease_lost", host=self._host_id, epoch=epoch)

    async def _renew_until_lost(self, tasks: Sequence[asyncio.Task[None]]) -> None:
        while self._lease.held() and not any(task.done() for task in tasks):
            await asyncio.sleep(self._cfg.renewal_ms / MS_PER_S)
            if not self._lease.held():
                return
            try:
                if not await self._lease.renew():
                    return
                self._record_store_state(True)
            except StoreError as exc:
                self._record_store_state(False, exc)

    def _contest_delay_ms(self) -> float:
        return self._rng.uniform(0.5, 1.0) * self._cfg.suspicion_ms

    def _retry_ms(self) -> float:
        bound_ms = RETRY_LIMIT_PER_RANK_MS * (1 + self.rank())
        return min(self._backoff.next_ms(), bound_ms)

    def _record_store_state(
        self, reachable: bool, exc: StoreError | None = None
    ) -> None:
        if reachable:
            self._backoff.reset()
        if self._store_unavailable != reachable:
            return
        self._store_unavailable = not reachable
        kind = EventKind.STORE_RECOVERED if reachable else EventKind.STORE_UNAVAILABLE
        self._recorder.record(kind, cause=exc.code if exc else "")
