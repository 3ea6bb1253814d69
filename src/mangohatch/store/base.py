"""The platform's object API as the rest of the program sees it."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Any

__all__ = ["Listing", "ObjectReader", "ObjectStore", "StoredObject", "WatchEvent"]


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredObject:
    """An object; ``revision`` counts the writes to the whole store."""

    kind: str
    name: str
    revision: int
    value: dict[str, Any]


@dataclass(slots=True, kw_only=True, frozen=True)
class Listing:
    """All objects of a kind as of ``revision``."""

    items: Sequence[StoredObject]
    revision: int


@dataclass(slots=True, kw_only=True, frozen=True)
class WatchEvent:
    """A change of an object; ``item`` is None for a sign of life."""

    item: StoredObject | None
    deleted: bool
    revision: int


class ObjectReader(ABC):
    """Reads objects."""

    @abstractmethod
    async def get(self, kind: str, name: str) -> StoredObject | None:
        """
        Read an object; the answer may be stale.

        :param kind: kind of object
        :param name: name within the kind
        :return: the object, None when there is none
        :raises StoreError: when the store gives no answer
        """

    @abstractmethod
    async def list(self, kind: str) -> Listing:
        """
        Read all objects of a kind; the answer may be stale.

        :param kind: kind of object
        :return: the objects
        :raises StoreError: when the store gives no answer
        """


class ObjectStore(ObjectReader):
    """Objects with versions, conditional updates and watches."""

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
        Write an object on a condition.

        :param kind: kind of object
        :param name: name within the kind
        :param value: the new value
        :param expected_revision: revision to replace; None when there is no object
        :return: the object as written
        :raises StoreError: a conflict, a refusal, or a write of unknown outcome
        """

    @abstractmethod
    async def delete(self, kind: str, name: str, *, expected_revision: int) -> None:
        """
        Delete an object on a condition.

        :param kind: kind of object
        :param name: name within the kind
        :param expected_revision: revision to delete
        :raises StoreError: a conflict, a refusal, or a delete of unknown outcome
        """

    @abstractmethod
    def watch(self, kind: str, *, since: int) -> AsyncIterator[WatchEvent]:
        """
        Follow the changes of a kind.

        :param kind: kind of object
        :param since: revision after which changes are wanted
        :return: changes in order; signs of life in between
        :raises StoreError: when the watch breaks or ``since`` is too old
        """
