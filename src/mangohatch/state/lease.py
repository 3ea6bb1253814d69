"""Lease stored as an object, with epochs for fencing."""

import random
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError

from mangohatch.clock import Clock
from mangohatch.errors import StoreConflict
from mangohatch.store.base import ObjectStore, StoredObject
from mangohatch.store.operations import (
    OPERATION_FIELDS,
    list_operations,
    put_resolved,
    with_operation,
)

__all__ = ["LEASE_KIND", "Lease", "LeaseRecord", "read_lease"]

LEASE_KIND = "lease"
HOLDER_MARGIN_RATIO = 0.1
MAX_WRITES = 2


class LeaseRecord(BaseModel):
    """Stored form of a lease; ``holder`` is empty after a release."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    holder: str
    epoch: int
    duration_ms: float


@dataclass(slots=True, kw_only=True)
class LeaseTerm:
    """A term of the lease; ``deadline_ms`` is a time of the monotonic clock."""

    epoch: int
    revision: int
    deadline_ms: float


def read_lease(item: StoredObject | None) -> LeaseRecord | None:
    """
    Parse and validate a stored lease.

    :param item: the lease object as read, None when there is none
    :return: the lease, None when it is missing or invalid
    """
    if item is None or not isinstance(item.value, dict):
        return None
    fields: dict[str, Any] = {
        name: value
        for name, value in item.value.items()
        if name not in OPERATION_FIELDS
    }
    try:
        return LeaseRecord.model_validate(fields)
    except ValidationError:
        return None


class Lease:
    """
    Client of one lease.

    The holder measures its term from the moment before it sent its last successful
    write, and ends the term ``HOLDER_MARGIN_RATIO`` of the duration early. Other
    hosts wait for the whole duration after they read the object. The deadline of a
    paused holder has therefore passed before another host may hold the lease.

    :param name: name of the lease object
    :param holder: name of this holder, unique over all hosts and restarts
    :param duration_ms: duration of the lease in milliseconds
    :param store: client of the object API
    :param clock: clock of this host
    :param rng: random source for operation ids and jitter
    """

    def __init__(
        self,
        *,
        name: str,
        holder: str,
        duration_ms: float,
        store: ObjectStore,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._holder = holder
        self._duration_ms = duration_ms
        self._store = store
        self._clock = clock
        self._rng = rng
        self._term: LeaseTerm | None = None
        self._last_revision = 0

    @property
    def epoch(self) -> int:
        """Epoch of the current term, also past its deadline; 0 without a term."""
        return self._term.epoch if self._term else 0

    @property
    def revision(self) -> int:
        """Revision of the last write to the lease by this holder."""
        return self._last_revision

    def held(self) -> bool:
        """
        Return whether this host may act as the holder now.

        :return: whether there is a term and its deadline has not passed
        """
        term = self._term
        return term is not None and self._clock.now_ms() < term.deadline_ms

    async def read(self) -> StoredObject | None:
        """
        Read the lease object; the read may be stale.

        :return: the object, None when there is none
        :raises StoreError: the read failed
        """
        return await self._store.get(LEASE_KIND, self._name)

    def is_free(self, item: StoredObject | None) -> bool:
        """
        Return whether the lease can be acquired without waiting for its expiry.

        :param item: the lease object as read, None when there is none
        :return: whether the lease has no holder, or this host wrote it last
        """
        record = read_lease(item)
        if item is None or record is None or not record.holder:
            return True
        return record.holder == self._holder and item.revision == self._last_revision

    async def acquire(self, base: StoredObject | None, *, above_epoch: int) -> bool:
        """
        Acquire the lease by replacing the object as read.

        Unless the lease is free, the caller must have waited for the duration in
        ``base``.

        :param base: the lease object as read, None when there was none
        :param above_epoch: highest epoch received by this host
        :return: whether this host holds the lease now
        :raises StoreError: the write failed or its outcome is unknown
        """
        record = read_lease(base)
        epoch = max(record.epoch if record else 0, above_epoch) + 1
        return await self._write(base, epoch)

    async def renew(self) -> bool:
        """
        Extend the current term.

        :return: False when there is no term, or the lease object is not of this term
        :raises StoreError: the store call failed; the current term continues
        """
        if self._term is None:
            return False
        current = StoredObject(
            kind=LEASE_KIND,
            name=self._name,
            revision=self._term.revision,
            value={},
        )
        if await self._write(current, self._term.epoch):
            return True
        found = await self.read()
        record = read_lease(found)
        same_holder = record is not None and record.holder == self._holder
        if (
            found is None
            or record is None
            or not same_holder
            or record.epoch != self.epoch
        ):
            self._term = None
            return False
        self._term.revision = max(self._term.revision, found.revision)
        return True

    async def release(self) -> None:
        """
        Release the lease so that another host can acquire it at once.

        :raises StoreError: the write failed; the lease then expires by itself
        """
        term = self._term
        self._term = None
        if term is None or self._clock.now_ms() >= term.deadline_ms:
            return
        await self._put(term.revision, "", term.epoch)

    def drop(self) -> None:
        """End the term of this host without a write to the store."""
        self._term = None

    async def _write(self, base: StoredObject | None, epoch: int) -> bool:
        sent_ms = self._clock.now_ms()
        expected = base.revision if base else None
        try:
            item = await self._put(expected, self._holder, epoch)
        except StoreConflict:
            return False
        if item is None:
            return False
        self._last_revision = item.revision
        term_ms = self._duration_ms * (1 - HOLDER_MARGIN_RATIO)
        self._term = LeaseTerm(
            epoch=epoch, revision=item.revision, deadline_ms=sent_ms + term_ms
        )
        return self.held()

    async def _put(
        self, expected: int | None, holder: str, epoch: int
    ) -> StoredObject | None:
        record = LeaseRecord(
            holder=holder, epoch=epoch, duration_ms=self._duration_ms
        ).model_dump()
        operation_id = f"{self._holder}:{self._rng.getrandbits(64):016x}"
        value = with_operation(record, operation_id=operation_id, base=None)
        item = await put_resolved(
            self._store,
            kind=LEASE_KIND,
            name=self._name,
            value=value,
            expected_revision=expected,
            rng=self._rng,
            attempts=MAX_WRITES,
        )
        return item if list_operations(item)[:1] == [operation_id] else None
