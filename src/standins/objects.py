"""Object table shared by the stand-ins for the platform's object API."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from mangohatch.errors import RevisionCompacted, StoreConflict
from mangohatch.store.base import Listing, StoredObject, WatchEvent

__all__ = ["ObjectTable", "StoreFaults"]

MIN_CHANGES_KEPT = 5_000
MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True)
class StoreFaults:
    """
    Faults that a stand-in simulates while they are set.

    ``lost_answers`` is the number of further writes that take effect but get no
    response; ``refused_writes`` is the number of further writes that neither take
    effect nor get a response. Reads and watches see the store as of
    ``stale_revision``. While ``silent_watches`` is set, watches stay open but deliver
    neither changes nor keep-alive events.
    """

    outage: bool = False
    delay_ms: float = 0.0
    lost_answers: int = 0
    refused_writes: int = 0
    stale_revision: int | None = None
    silent_watches: bool = False


@dataclass(slots=True, kw_only=True)
class ObjectTable:
    """All objects, the latest changes, and call counts by role and kind of call."""

    revision: int = 0
    objects: dict[tuple[str, str], StoredObject] = field(default_factory=dict)
    changes: list[WatchEvent] = field(default_factory=list)
    calls: Counter[tuple[str, str]] = field(default_factory=Counter)
    faults: StoreFaults = field(default_factory=StoreFaults)
    waiters: list[asyncio.Future[None]] = field(default_factory=list)

    def get(self, kind: str, name: str) -> StoredObject | None:
        """
        Read an object, as of the stale revision if that fault is set.

        :param kind: kind of object
        :param name: name within the kind
        :return: the object, None when it does not exist
        """
        return self._visible().get((kind, name))

    def list_kind(self, kind: str) -> Listing:
        """
        Read all objects of a kind, as of the stale revision if that fault is set.

        :param kind: kind of object
        :return: the objects in the order of names, and the revision of the list
        """
        visible = self._visible()
        items = [visible[key] for key in sorted(visible) if key[0] == kind]
        stale = self.faults.stale_revision
        revision = self.revision if stale is None else min(stale, self.revision)
        return Listing(items=items, revision=revision)

    def put(
        self, kind: str, name: str, value: dict[str, Any], expected: int | None
    ) -> StoredObject:
        """
        Write an object if it is at the expected revision.

        :param kind: kind of object
        :param name: name within the kind
        :param value: the new value
        :param expected: revision to replace; None when the object must not exist
        :return: the object as written
        :raises StoreConflict: when the object is at another revision
        """
        self._check_revision(kind, name, expected)
        self.revision += 1
        item = StoredObject(kind=kind, name=name, revision=self.revision, value=value)
        self.objects[(kind, name)] = item
        self._record_change(
            WatchEvent(item=item, deleted=False, revision=self.revision)
        )
        return item

    def delete(self, kind: str, name: str, expected: int) -> None:
        """
        Delete an object if it is at the expected revision.

        :param kind: kind of object
        :param name: name within the kind
        :param expected: revision to delete
        :raises StoreConflict: when the object is at another revision
        """
        self._check_revision(kind, name, expected)
        self.revision += 1
        item = self.objects.pop((kind, name))
        self._record_change(WatchEvent(item=item, deleted=True, revision=self.revision))

    def changes_since(self, kind: str, since: int) -> list[WatchEvent]:
        """
        Collect the changes of a kind after a revision.

        :param kind: kind of object
        :param since: revision after which changes are returned
        :return: changes in the order of revisions
        :raises RevisionCompacted: when changes after this revision were discarded
        """
        if self.changes and since < self.changes[0].revision - 1:
            raise RevisionCompacted(f"changes since {since} were discarded")
        limit = self.faults.stale_revision
        return [
            event
            for event in self.changes
            if event.revision > since
            and (limit is None or event.revision <= limit)
            and event.item is not None
            and event.item.kind == kind
        ]

    async def wait_for_change(self, timeout_ms: float) -> None:
        """
        Wait until an object is written or deleted, or the timeout expires.

        :param timeout_ms: maximum wait in milliseconds
        """
        fut = asyncio.get_running_loop().create_future()
        self.waiters.append(fut)
        await asyncio.wait([fut], timeout=timeout_ms / MS_PER_S)

    def _check_revision(self, kind: str, name: str, expected: int | None) -> None:
        current = self.objects.get((kind, name))
        found = current.revision if current else None
        if found != expected:
            raise StoreConflict(f"{kind}/{name} is at {found}, expected {expected}")

    def _record_change(self, event: WatchEvent) -> None:
        self.changes.append(event)
        waiters, self.waiters = self.waiters, []
        for fut in waiters:
            if not fut.done():
                fut.set_result(None)
        if len(self.changes) > 2 * MIN_CHANGES_KEPT:
            del self.changes[:MIN_CHANGES_KEPT]

    def _visible(self) -> dict[tuple[str, str], StoredObject]:
        limit = self.faults.stale_revision
        if limit is None:
            return self.objects
        snapshot: dict[tuple[str, str], StoredObject] = {}
        for event in self.changes:
            if event.revision > limit or event.item is None:
                continue
            key = (event.item.kind, event.item.name)
            if event.deleted:
                snapshot.pop(key, None)
            else:
                snapshot[key] = event.item
        return snapshot
