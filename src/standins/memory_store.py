"""An object store in memory with the faults of the platform's, for tests."""

import asyncio
import random
from collections.abc import AsyncIterator, Sequence
from typing import Any

from mangohatch.errors import StoreUnavailable, StoreWriteUnknown
from mangohatch.store.base import Listing, ObjectStore, StoredObject, WatchEvent
from standins.objects import ObjectTable

__all__ = ["MemoryStore"]

ANSWER_MIN_MS = 1.0
ANSWER_MAX_MS = 4.0
OUTAGE_ANSWER_MS = 200.0
SIGN_OF_LIFE_MS = 1000.0
WATCH_POLL_MS = 50.0
MS_PER_S = 1000.0


class MemoryStore(ObjectStore):
    """
    One client's view of a shared object table.

    :param table: the objects and the faults, shared by all clients
    :param rng: source of answer times
    :param role: caller role under which calls are counted
    """

    def __init__(
        self, *, table: ObjectTable, rng: random.Random, role: str = "test"
    ) -> None:
        self._table = table
        self._rng = rng
        self._role = role

    def client(self, role: str) -> "MemoryStore":
        """
        Make another client of the same table.

        :param role: its caller role
        :return: the client
        """
        return MemoryStore(table=self._table, rng=self._rng, role=role)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        await self._reach("get")
        item = self._table.get(kind, name)
        await self._answer()
        return item

    async def list(self, kind: str) -> Listing:
        await self._reach("list")
        listing = self._table.list_kind(kind)
        await self._answer()
        return listing

    async def put(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        *,
        expected_revision: int | None,
    ) -> StoredObject:
        await self._reach("put")
        self._refuse_write()
        item = self._table.put(kind, name, value, expected_revision)
        await self._answer_write()
        return item

    async def delete(self, kind: str, name: str, *, expected_revision: int) -> None:
        await self._reach("delete")
        self._refuse_write()
        self._table.delete(kind, name, expected_revision)
        await self._answer_write()

    async def watch(self, kind: str, *, since: int) -> AsyncIterator[WatchEvent]:
        await self._reach("watch")
        quiet_ms = 0.0
        seen: tuple[int, int | None] | None = None
        while True:
            faults = self._table.faults
            if faults.outage:
                raise StoreUnavailable("the watch broke")
            silent = faults.silent_watches
            changes: Sequence[WatchEvent] = []
            if not silent and seen != (self._table.revision, faults.stale_revision):
                changes = self._table.changes_since(kind, since)
                seen = (self._table.revision, faults.stale_revision)
            for event in changes:
                since = event.revision
                yield event
            quiet_ms = 0.0 if changes else quiet_ms + WATCH_POLL_MS
            if quiet_ms >= SIGN_OF_LIFE_MS and not silent:
                quiet_ms = 0.0
                yield WatchEvent(item=None, deleted=False, revision=since)
            await self._table.wait_for_change(WATCH_POLL_MS)

    async def _reach(self, call: str) -> None:
        self._table.calls[(self._role, call)] += 1
        delay_ms = self._rng.uniform(ANSWER_MIN_MS, ANSWER_MAX_MS) / 2
        await asyncio.sleep((delay_ms + self._table.faults.delay_ms) / MS_PER_S)
        if self._table.faults.outage:
            await asyncio.sleep(OUTAGE_ANSWER_MS / MS_PER_S)
            raise StoreUnavailable(f"{call} got no answer")

    async def _answer(self) -> None:
        delay_ms = self._rng.uniform(ANSWER_MIN_MS, ANSWER_MAX_MS) / 2
        await asyncio.sleep(delay_ms / MS_PER_S)

    def _refuse_write(self) -> None:
        if self._table.faults.refused_writes > 0:
            self._table.faults.refused_writes -= 1
            raise StoreWriteUnknown("the write got no answer")

    async def _answer_write(self) -> None:
        lost = self._table.faults.lost_answers > 0 or self._table.faults.outage
        self._table.faults.lost_answers = max(self._table.faults.lost_answers - 1, 0)
        await self._answer()
        if lost:
            await asyncio.sleep(OUTAGE_ANSWER_MS / MS_PER_S)
            raise StoreWriteUnknown("the answer to the write was lost")
