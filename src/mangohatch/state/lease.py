"""A lease on an object of the store, with epochs for fencing."""

import random
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError

from mangohatch.clock import Clock
from mangohatch.errors import StoreConflict
from mangohatch.store.base import ObjectStore, StoredObject
from mangohatch.store.operations import (
    OPERATION_FIELDS,
    OPERATION_ID,
    put_resolved,
    with_operation,
)

__all__ = ["LEASE_KIND", "Lease", "LeaseRecord", "read_lease"]

LEASE_KIND = "lease"
HOLDER_MARGIN_RATIO = 0.1
MAX_WRITES = 2


class LeaseRecord(BaseModel):
    """A stored lease; ``holder`` is empty when the last holder gave it up."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    holder: str
    epoch: int
    duration_ms: float


@dataclass(slots=True, kw_only=True)
class LeaseTerm:
    """One holding of the lease; ``deadline_ms`` is on the monotonic clock."""

    epoch: int
    revision: int
    deadline_ms: float


def read_lease(item: StoredObject | None) -> LeaseRecord | None:
    """
    Check a stored lease.

    :param item: the object as read
    :return: the lease, None when there is none or it is not valid
    """
    if item is None:
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
    This host's view of one lease.

    The holder counts its deadline from before its last successful write was sent
    and stops ``HOLDER_MARGIN_RATIO`` of the duration early; others count the whole
    duration from after they read the object. A holder that was paused therefore
    finds its own deadline passed before anyone else may hold the lease.

    :param name: name of the lease object
    :param holder: name of this holder, unique over all hosts and restarts
    :param duration_ms: length of the lease
    :param store: the store
    :param clock: clock of this host
    :param rng: source of operation ids and jitter
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
        """Epoch of the current or last tenure, 0 before the first."""
        return self._term.epoch if self._term else 0

    @property
    def revision(self) -> int:
        """Revision of this holder's last write to the lease."""
        return self._last_revision

    def held(self) -> bool:
        """
        Tell whether this host may act as the holder now.

        :return: whether the deadline lies ahead
        """
        term = self._term
        return term is not None and self._clock.now_ms() < term.deadline_ms

    async def read(self) -> StoredObject | None:
        """
        Read the lease object; the answer may be stale.

        :return: the object, None when there is none
        :raises StoreError: when the store gives no answer
        """
        return await self._store.get(LEASE_KIND, self._name)

    def is_free(self, item: StoredObject | None) -> bool:
        """
        Tell whether the lease may be taken without waiting for its end.

        :param item: the object as read
        :return: whether it has no holder, or this host wrote it last
        """
        record = read_lease(item)
        if item is None or record is None or not record.holder:
            return True
        return record.holder == self._holder and item.revision == self._last_revision

    async def acquire(self, base: StoredObject | None, *, above_epoch: int) -> bool:
        """
        Take the lease over from the object as read.

        The caller has waited for the duration in ``base`` unless the lease is free.

        :param base: the lease object, None when there was none
        :param above_epoch: highest epoch that this host has heard of
        :return: whether this host holds the lease now
        :raises StoreError: when the store gives no answer
        """
        record = read_lease(base)
        epoch = max(record.epoch if record else 0, above_epoch) + 1
        return await self._write(base, epoch)

    async def renew(self) -> bool:
        """
        Extend the current tenure.

        :return: False when another holder has taken the lease
        :raises StoreError: when the store gives no answer; the tenure runs on
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
        Give the lease up so that another host can take it at once.

        :raises StoreError: when the store gives no answer; the lease then runs out
        """
        term = self._term
        self._term = None
        if term is None or self._clock.now_ms() >= term.deadline_ms:
            return
        await self._put(term.revision, "", term.epoch)

    def drop(self) -> None:
        """Stop to act as the holder, without a write."""
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
        return item if item.value[OPERATION_ID] == operation_id else None
