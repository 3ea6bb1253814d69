"""An in-memory object store that simulates faults of the platform's, for tests."""

import asyncio
import random
from collections.abc import AsyncIterator, Sequence
from typing import Any

from mangohatch.errors import StoreUnavailable, StoreWriteUnknown
from mangohatch.store.base import Listing, ObjectStore, StoredObject, WatchEvent
from standins.objects import ObjectTable

__all__ = ["MemoryStore"]

MIN_RESPONSE_MS = 1.0
MAX_RESPONSE_MS = 4.0
OUTAGE_TIMEOUT_MS = 200.0
KEEP_ALIVE_INTERVAL_MS = 1000.0
WATCH_POLL_MS = 50.0
MS_PER_S = 1000.0


class MemoryStore(ObjectStore):
    """
    A client of a shared object table.

    :param table: objects and faults, shared by all clients
    :param rng: random number generator for response times
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
        Create another client of the same table.

        :param role: caller role of the new client
        :return: the client
        """
        return MemoryStore(table=self._table, rng=self._rng, role=role)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        await self._begin_call("get")
        item = self._table.get(kind, name)
        await self._delay_response()
        return item

    async def list(self, kind: str) -> Listing:
        await self._begin_call("list")
        listing = self._table.list_kind(kind)
        await self._delay_response()
        return listing

    async def put(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        *,
        expected_revision: int | None,
    ) -> StoredObject:
        await self._begin_call("put")
        self._check_refused_write()
        item = self._table.put(kind, name, value, expected_revision)
        await self._finish_write()
        return item

    async def delete(self, kind: str, name: str, *, expected_revision: int) -> None:
        await self._begin_call("delete")
        self._check_refused_write()
        self._table.delete(kind, name, expected_revision)
        await self._finish_write()

    async def watch(self, kind: str, *, since: int) -> AsyncIterator[WatchEvent]:
        await self._begin_call("watch")
        idle_ms = 0.0
        seen: tuple[int, int | None] | None = None
        while True:
            faults = self._table.faults
            if faults.outage:
                raise StoreUnavailable("the watch connection closed")
            silent = faults.silent_watches
            changes: Sequence[WatchEvent] = []
            if not silent and seen != (self._table.revision, faults.stale_revision):
                changes = self._table.changes_since(kind, since)
                seen = (self._table.revision, faults.stale_revision)
            for event in changes:
                since = event.revision
                yield event
            idle_ms = 0.0 if changes else idle_ms + WATCH_POLL_MS
            if idle_ms >= KEEP_ALIVE_INTERVAL_MS and not silent:
                idle_ms = 0.0
                yield WatchEvent(item=None, deleted=False, revision=since)
            await self._table.wait_for_change(WATCH_POLL_MS)

    async def _begin_call(self, call: str) -> None:
        self._table.calls[(self._role, call)] += 1
        delay_ms = self._rng.uniform(MIN_RESPONSE_MS, MAX_RESPONSE_MS) / 2
        await asyncio.sleep((delay_ms + self._table.faults.delay_ms) / MS_PER_S)
        if self._table.faults.outage:
            await asyncio.sleep(OUTAGE_TIMEOUT_MS / MS_PER_S)
            raise StoreUnavailable(f"no response to {call}")

    async def _delay_response(self) -> None:
        delay_ms = self._rng.uniform(MIN_RESPONSE_MS, MAX_RESPONSE_MS) / 2
        await asyncio.sleep(delay_ms / MS_PER_S)

    def _check_refused_write(self) -> None:
        if self._table.faults.refused_writes > 0:
            self._table.faults.refused_writes -= 1
            raise StoreWriteUnknown("no response to the write")

    async def _finish_write(self) -> None:
        lost = self._table.faults.lost_answers > 0 or self._table.faults.outage
        self._table.faults.lost_answers = max(self._table.faults.lost_answers - 1, 0)
        await self._delay_response()
        if lost:
            await asyncio.sleep(OUTAGE_TIMEOUT_MS / MS_PER_S)
            raise StoreWriteUnknown("the response to the write was lost")
