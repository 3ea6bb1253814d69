"""Leaseholder task that deletes expired claims."""

import asyncio
import itertools

import structlog

from mangohatch.claims.record import (
    SHARDS,
    ClaimRecord,
    ClaimState,
    claim_kind,
    read_claim,
)
from mangohatch.clock import Clock
from mangohatch.config import ClaimSettings
from mangohatch.errors import StoreConflict, StoreError
from mangohatch.state.leaseholder_task import LeaseholderTask
from mangohatch.store.base import ObjectStore, StoredObject

__all__ = ["ClaimSweep"]

MS_PER_S = 1000.0

log = structlog.get_logger()


class ClaimSweep(LeaseholderTask):
    """
    Deletes claims whose retention has passed, one shard after the other.

    The retention of a claim whose attempt never ended starts at the deadline of the
    attempt. Deletes are conditional on the revision read, so that a claim that has
    changed since is kept.

    :param cfg: retention, interval and size of a sweep
    :param store: the store, limited by the call budget of the sweep
    :param clock: clock of this host
    """

    def __init__(self, *, cfg: ClaimSettings, store: ObjectStore, clock: Clock) -> None:
        self._cfg = cfg
        self._store = store
        self._clock = clock
        self.deleted = 0

    async def run(self, epoch: int) -> None:
        first = epoch % len(SHARDS)
        for shard in itertools.cycle(SHARDS[first:] + SHARDS[:first]):
            await asyncio.sleep(self._cfg.sweep_ms / MS_PER_S)
            try:
                await self.sweep(shard)
            except StoreError as exc:
                log.info("claim_sweep_failed", code=exc.code, shard=shard)

    async def sweep(self, shard: str) -> None:
        """
        Delete expired claims of one shard, up to ``sweep_deletes`` of them.

        :param shard: name of the shard
        :raises StoreError: if the store does not answer
        """
        listing = await self._store.list(claim_kind(shard))
        expired = [item for item in listing.items if self._is_expired(item)]
        for item in expired[: self._cfg.sweep_deletes]:
            try:
                await self._store.delete(
                    item.kind, item.name, expected_revision=item.revision
                )
            except StoreConflict:
                continue
            self.deleted += 1

    def _is_expired(self, item: StoredObject) -> bool:
        record = read_claim(item.value)
        if record is None:
            return False
        return (
            retention_start_ms(record) + self._cfg.retention_ms < self._clock.wall_ms()
        )


def retention_start_ms(record: ClaimRecord) -> float:
    """
    Return when the retention of a claim starts.

    :param record: the claim
    :return: wall-clock time in milliseconds
    """
    if record.state is ClaimState.RUNNING:
        return max(record.deadline_wall_ms, record.changed_wall_ms)
    return record.changed_wall_ms
