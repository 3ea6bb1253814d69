"""Writes with an operation id, which resolves the outcome of a lost response."""

import asyncio
import random
from typing import Any

from mangohatch.errors import StoreConflict, StoreError, StoreWriteUnknown
from mangohatch.store.backoff import Backoff
from mangohatch.store.base import ObjectStore, StoredObject

__all__ = [
    "EARLIER_OPERATIONS",
    "OPERATION_ID",
    "OPERATION_FIELDS",
    "holds_operation",
    "list_operations",
    "put_resolved",
    "with_operation",
]

OPERATION_ID = "operation_id"
EARLIER_OPERATIONS = "earlier_operations"
OPERATION_FIELDS = (OPERATION_ID, EARLIER_OPERATIONS)
MAX_EARLIER_OPERATIONS = 16
DEFAULT_ATTEMPTS = 5
FIRST_DELAY_MS = 20.0
MAX_DELAY_MS = 500.0
MS_PER_S = 1000.0


def with_operation(
    value: dict[str, Any], *, operation_id: str, base: StoredObject | None
) -> dict[str, Any]:
    """
    Add the id of a write and the ids of earlier writes to a value.

    :param value: the value to write
    :param operation_id: id of this write, unique over all hosts and all time
    :param base: the object to replace, None when there is none
    :return: copy of the value with the ids
    """
    marks = {
        OPERATION_ID: operation_id,
        EARLIER_OPERATIONS: list_operations(base)[:MAX_EARLIER_OPERATIONS],
    }
    return value | marks


def list_operations(item: StoredObject | None) -> list[str]:
    """
    List the writes whose ids an object holds, the latest first.

    :param item: the object as read, None when there is none
    :return: ids of the writes; empty when another writer wrote the object
    """
    if item is None or not isinstance(item.value, dict):
        return []
    latest = item.value.get(OPERATION_ID)
    earlier = item.value.get(EARLIER_OPERATIONS, [])
    if not isinstance(latest, str) or not isinstance(earlier, list):
        return []
    return [latest, *earlier]


def holds_operation(item: StoredObject | None, operation_id: str) -> bool:
    """
    Return whether a write took effect, also when a later write replaced the object.

    :param item: the object as read, None when there is none
    :param operation_id: id of the write
    :return: whether the object holds the id as its own or as that of an earlier write
    """
    return operation_id in list_operations(item)


async def put_resolved(
    store: ObjectStore,
    *,
    kind: str,
    name: str,
    value: dict[str, Any],
    expected_revision: int | None,
    rng: random.Random,
    attempts: int = DEFAULT_ATTEMPTS,
) -> StoredObject:
    """
    Write an object and resolve the outcome when the response is lost.

    After a lost response the same conditional write is sent again; it takes effect
    at most once. A conflict after a lost response is resolved by the operation id
    in the object. Reads may be stale, so an object that still has the expected
    revision does not resolve the outcome.

    :param store: the store
    :param kind: kind of object
    :param name: name within the kind
    :param value: value returned by :func:`with_operation`
    :param expected_revision: revision to replace; None when no object may exist
    :param rng: random source for the jitter between attempts
    :param attempts: maximum number of writes
    :return: the object as written, or a successor that holds the operation id
    :raises StoreConflict: another write came first; this write had no effect
    :raises StoreWriteUnknown: the outcome of the write could not be resolved
    :raises StoreError: the store refused the first write
    """
    backoff = Backoff(first_ms=FIRST_DELAY_MS, limit_ms=MAX_DELAY_MS, rng=rng)
    in_doubt = False
    for attempt in range(1, attempts + 1):
        try:
            return await store.put(
                kind, name, value, expected_revision=expected_revision
            )
        except StoreWriteUnknown:
            in_doubt = True
        except StoreConflict:
            if not in_doubt:
                raise
            found = await read_successor(store, kind, name, expected_revision)
            if holds_operation(found, value[OPERATION_ID]):
                assert found is not None
                return found
            if found is not None:
                raise
        except StoreError as exc:
            if not in_doubt:
                raise
            if attempt == attempts:
                raise StoreWriteUnknown(f"{kind}/{name}: {exc}") from exc
        if attempt < attempts:
            await asyncio.sleep(backoff.next_ms() / MS_PER_S)
    raise StoreWriteUnknown(f"{kind}/{name}: no answer to {attempts} writes")


async def read_successor(
    store: ObjectStore, kind: str, name: str, expected_revision: int | None
) -> StoredObject | None:
    """
    Read the object that caused the conflict of a conditional write.

    :param store: the store
    :param kind: kind of object
    :param name: name within the kind
    :param expected_revision: expected revision of the write
    :return: the object, None when the read failed or is stale
    """
    try:
        item = await store.get(kind, name)
    except StoreError:
        return None
    if item is None or item.revision == (expected_revision or 0):
        return None
    if item.revision < (expected_revision or 0):
        return None
    return item
