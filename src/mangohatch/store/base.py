"""Interface of the platform's object API."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Any

__all__ = [
    "Listing",
    "ObjectReader",
    "ObjectStore",
    "StoredObject",
    "UNNAMED",
    "WatchEvent",
]

UNNAMED = ""  # in place of a name that can't be read


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredObject:
    """
    An object; ``revision`` is the store-wide write count at its last write.

    ``value`` is of any JSON type if another writer wrote the object. ``created`` is the
    count at its first write, None if the store does not say.
    """

    kind: str
    name: str
    revision: int
    value: Any
    created: int | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class Listing:
    """
    All objects of a kind; the store was at ``revision`` when they were read.

    ``unreadable`` holds the names of those that can't be used, ``UNNAMED`` for one
    without a readable name. ``era`` counts how often the store came back from an older
    copy, None if it does not say.
    """

    items: Sequence[StoredObject]
    revision: int
    unreadable: frozenset[str] = frozenset()
    era: int | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class WatchEvent:
    """A change of an object, or a keep-alive event when ``item`` is None."""

    item: StoredObject | None
    deleted: bool
    revision: int


class ObjectReader(ABC):
    """Read access to objects."""

    @abstractmethod
    async def get(self, kind: str, name: str) -> StoredObject | None:
        """
        Read an object; the read may be stale.

        :param kind: kind of object
        :param name: name within the kind
        :return: the object, None when there is none
        :raises StoreError: the call failed
        """

    @abstractmethod
    async def list(self, kind: str) -> Listing:
        """
        Read all objects of a kind; the read may be stale.

        :param kind: kind of object
        :return: the objects, with the revision of the read
        :raises StoreError: the call failed
        """


class ObjectStore(ObjectReader):
    """Access to versioned objects, with conditional writes and watches."""

    @abstractmethod
    async def put(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        *,
        expected_revision: int | None,
    ) -> StoredObject:
        """
        Write an object if it still has the expected revision.

        :param kind: kind of object
        :param name: name within the kind
        :param value: the new value
        :param expected_revision: revision to replace; None when no object may exist
        :return: the object as written
        :raises StoreError: the write conflicted, was refused or has an unknown outcome
        """

    @abstractmethod
    async def delete(self, kind: str, name: str, *, expected_revision: int) -> None:
        """
        Delete an object if it still has the expected revision.

        :param kind: kind of object
        :param name: name within the kind
        :param expected_revision: revision to delete
        :raises StoreError: the delete conflicted, was refused or has an unknown
            outcome
        """

    @abstractmethod
    def watch(self, kind: str, *, since: int) -> AsyncIterator[WatchEvent]:
        """
        Watch the changes of a kind.

        :param kind: kind of object
        :param since: revision after which changes are delivered
        :return: changes in order of revision, with keep-alive events in between
        :raises StoreError: the watch broke, or ``since`` is too old
        """
