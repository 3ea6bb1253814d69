"""Writes an order to the store at most once."""

import asyncio
import random
from collections.abc import Callable

from mangohatch.errors import (
    OrderConflict,
    OrderStoreUnavailable,
    StoreConflict,
    StoreError,
    StoreWriteUnknown,
)
from mangohatch.orders.view import ConfigView
from mangohatch.state.items import SERVICE_KIND
from mangohatch.store.backoff import Backoff
from mangohatch.store.base import ObjectStore, StoredObject
from mangohatch.store.operations import (
    holds_operation,
    list_operations,
    put_resolved,
    with_operation,
)

__all__ = ["OrderWriter", "WriteTask"]

READ_TIMEOUT_MS = 1500.0
RETRY_FIRST_MS = 250.0
RETRY_LIMIT_MS = 5000.0
MS_PER_S = 1000.0


class WriteTask:
    """
    A conditional write of a service.

    :param order_id: id of the order, used as operation id of the write
    :param name: name of the service
    :param value: JSON value of the service, without an operation id
    :param base: the object to replace; None if there is none
    """

    def __init__(
        self, *, order_id: str, name: str, value: dict, base: StoredObject | None
    ) -> None:
        self.order_id = order_id
        self.name = name
        self.value = with_operation(value, operation_id=order_id, base=base)
        self.expected = base.revision if base is not None else None


class OrderWriter:
    """
    Reads and writes the stored objects of services.

    :param store: client of the object API
    :param view: configuration as received and applied by this host
    :param rng: source of the backoff jitter
    """

    def __init__(
        self, *, store: ObjectStore, view: ConfigView, rng: random.Random
    ) -> None:
        self._store = store
        self._view = view
        self._rng = rng

    async def read(self, name: str) -> StoredObject | None:
        """
        Read a service from the store or from this host, whichever is newer.

        :param name: name of the service
        :return: the object; None if there is none
        :raises OrderStoreUnavailable: if the store does not answer in time
        """
        try:
            async with asyncio.timeout(READ_TIMEOUT_MS / MS_PER_S):
                stored = await self._store.get(SERVICE_KIND, name)
        except (StoreError, TimeoutError) as exc:
            problem = f"the store gives no answer ({exc}); nothing was written"
            raise OrderStoreUnavailable(problem) from exc
        if stored is not None and stored.revision > self._view.known_revision(name):
            return stored
        return self._view.find(name)

    async def write(
        self, task: WriteTask, *, on_unknown: Callable[[], bool]
    ) -> StoredObject:
        """
        Write at most once; if the answer is lost, retry until the outcome is known.

        :param task: the write
        :param on_unknown: called while the outcome is unknown; False ends the retries
        :return: the object as written
        :raises OrderConflict: if another change came first; nothing was written
        :raises OrderStoreUnavailable: if the store refused; nothing was written
        :raises StoreWriteUnknown: if the retries ended before the outcome was known
        """
        try:
            return await self.put(task)
        except StoreConflict as exc:
            raise await self.explain_conflict(task) from exc
        except StoreWriteUnknown:
            return await self.resolve(task, on_unknown)
        except StoreError as exc:
            problem = f"the store refused the write ({exc}); nothing was written"
            raise OrderStoreUnavailable(problem) from exc

    async def put(self, task: WriteTask) -> StoredObject:
        """
        Send the conditional write.

        :param task: the write
        :return: the object as written
        :raises StoreError: under the same conditions as :func:`put_resolved`
        """
        return await put_resolved(
            self._store,
            kind=SERVICE_KIND,
            name=task.name,
            value=task.value,
            expected_revision=task.expected,
            rng=self._rng,
        )

    async def resolve(
        self, task: WriteTask, on_unknown: Callable[[], bool]
    ) -> StoredObject:
        """
        Determine whether a write took effect; repeat it if it did not.

        The write is conditional on the base revision. Repeated writes therefore take
        effect at most once, and only on the object that the hosts voted on.

        :param task: the write
        :param on_unknown: called before each attempt; False ends the retries
        :return: the object as written
        :raises OrderConflict: if another change came first; nothing was written
        :raises StoreWriteUnknown: if the retries ended before the outcome was known
        """
        backoff = Backoff(
            first_ms=RETRY_FIRST_MS, limit_ms=RETRY_LIMIT_MS, rng=self._rng
        )
        while on_unknown():
            await asyncio.sleep(backoff.next_ms() / MS_PER_S)
            known = self._view.find(task.name)
            if known is not None and holds_operation(known, task.order_id):
                return known
            try:
                return await self.put(task)
            except StoreConflict:
                found = await self.read_replacement(task)
                if found is not None and holds_operation(found, task.order_id):
                    return found
                if found is not None:
                    raise make_conflict_error(found) from None
            except StoreError:
                continue
        raise StoreWriteUnknown(f"service/{task.name}: outcome of the write unknown")

    async def read_replacement(self, task: WriteTask) -> StoredObject | None:
        """
        Read the object that replaced the expected revision.

        :param task: the write
        :return: the object; None if the read fails or returns a stale revision
        """
        try:
            found = await self._store.get(SERVICE_KIND, task.name)
        except StoreError:
            return None
        if found is None or found.revision <= (task.expected or 0):
            return None
        return found

    async def explain_conflict(self, task: WriteTask) -> OrderConflict:
        """
        Build the error for a write that conflicted with another change.

        :param task: the write that was rejected
        :return: the error, with the id of the other order if it could be read
        """
        found = await self.read_replacement(task)
        if found is None:
            return OrderConflict("another change came first; nothing was written")
        return make_conflict_error(found)


def make_conflict_error(winner: StoredObject) -> OrderConflict:
    """
    Build the error that names the order that came first.

    :param winner: the object as written by that order
    :return: the error
    """
    order_id, *_ = list_operations(winner) or ["unknown"]
    return OrderConflict(
        f"order {order_id} came first with revision {winner.revision}; "
        "nothing was written"
    )
