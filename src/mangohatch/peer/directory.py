"""Peer addresses in the object API, for hosts whose seeds no longer run."""

import asyncio
import random
from typing import Any

import structlog

from mangohatch.clock import Clock
from mangohatch.errors import StoreConflict, StoreError
from mangohatch.peer.membership import Endpoint, Membership, MemberState
from mangohatch.store.backoff import Backoff
from mangohatch.store.base import ObjectStore, StoredObject
from mangohatch.store.operations import put_resolved, with_operation

__all__ = ["HOST_KIND", "HostDirectory"]

HOST_KIND = "host"
DISCOVERY_BACKOFF_MIN_MS = 1000.0
DISCOVERY_BACKOFF_MAX_MS = 15_000.0
REFRESH_INTERVAL_MS = 600_000.0
DEAD_HOST_RETENTION_MS = 3_600_000.0
UNKNOWN_HOST_RETENTION_MS = 86_400_000.0
MS_PER_S = 1000.0

log = structlog.get_logger()


class HostDirectory:
    """
    Writes the peer address of this host to the store once and reads the others.

    While this host has no peers or has not written its address, it retries with
    exponential backoff. After that it reads every 10 min on average, so that two
    halves of a fleet without a common seed find each other. Each host deletes the
    objects of crashed hosts when it reads them after their retention period.

    :param store: the object API
    :param membership: receives the addresses as seeds
    :param clock: source of time
    :param rng: source of the jitter
    """

    def __init__(
        self,
        *,
        store: ObjectStore,
        membership: Membership,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._membership = membership
        self._clock = clock
        self._rng = rng
        self._backoff = Backoff(
            first_ms=DISCOVERY_BACKOFF_MIN_MS,
            limit_ms=DISCOVERY_BACKOFF_MAX_MS,
            rng=rng,
        )
        self._own_object: StoredObject | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task that exchanges peer addresses of hosts through the store."""
        self._task = asyncio.ensure_future(self.run())

    async def stop(self) -> None:
        """Stop the task and try once to delete the address of this host."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._own_object is None:
            return
        try:
            await self._store.delete(
                HOST_KIND,
                self._own_object.name,
                expected_revision=self._own_object.revision,
            )
        except StoreError as exc:
            log.info("host_address_kept", code=exc.code)

    async def run(self) -> None:
        """Write and read addresses until cancelled."""
        while True:
            try:
                await self.refresh()
            except StoreError as exc:
                log.info("host_addresses_unread", code=exc.code)
            await asyncio.sleep(self.choose_wait_ms() / MS_PER_S)

    def choose_wait_ms(self) -> float:
        """
        Choose the time until the next read.

        :return: time in milliseconds, with jitter
        """
        if len(self._membership.views()) == 1 or self._own_object is None:
            return self._backoff.next_ms()
        self._backoff.reset()
        return REFRESH_INTERVAL_MS * self._rng.uniform(0.5, 1.5)

    async def refresh(self) -> None:
        """
        Read all addresses, and write that of this host if it is missing or outdated.

        Obsolete addresses of other hosts are deleted.

        :raises StoreError: if a store call fails
        """
        listing = await self._store.list(HOST_KIND)
        own = self._membership.own
        others = [item for item in listing.items if item.name != own.host_id]
        self._membership.add_seeds(
            endpoint
            for endpoint in (read_endpoint(item.value) for item in others)
            if endpoint is not None
        )
        found = next((one for one in listing.items if one.name == own.host_id), None)
        if found is None or read_endpoint(found.value) != self.endpoint:
            await self.register(found)
        for item in others:
            if self.is_obsolete(item):
                await self.delete(item)

    @property
    def endpoint(self) -> Endpoint:
        """
        Return the peer address of this host.

        :return: address and port on which this host listens for peers
        """
        own = self._membership.own
        return Endpoint(own.address, own.peer_port)

    async def register(self, found: StoredObject | None) -> None:
        """
        Write the address of this host.

        :param found: the existing object; None if there is none
        :raises StoreError: if a store call fails
        """
        if self._membership.replaced:
            return
        own = self._membership.own
        value = {
            "address": own.address,
            "peer_port": own.peer_port,
            "incarnation": own.incarnation,
        }
        operation_id = f"{own.host_id}:{self._rng.getrandbits(64):016x}"
        try:
            self._own_object = await put_resolved(
                self._store,
                kind=HOST_KIND,
                name=own.host_id,
                value=with_operation(value, operation_id=operation_id, base=found),
                expected_revision=found.revision if found is not None else None,
                rng=self._rng,
            )
        except StoreConflict:
            log.info("host_address_contested", host=own.host_id)

    def is_obsolete(self, item: StoredObject) -> bool:
        """
        Return whether an address belongs to a host that no longer runs.

        :param item: object of another host
        :return: whether to delete the object; a host that still runs writes it again
        """
        row = self._membership.table.rows.get(item.name)
        if row is None:
            started_ms = item.value.get("incarnation", 0)
            return self._clock.wall_ms() - started_ms > UNKNOWN_HOST_RETENTION_MS
        dead_ms = self._clock.now_ms() - row.since_ms
        return row.state is MemberState.DEAD and dead_ms > DEAD_HOST_RETENTION_MS

    async def delete(self, item: StoredObject) -> None:
        """
        Delete an address unless it was written again since it was read.

        :param item: object of another host
        :raises StoreError: if the store call fails for a reason other than a conflict
        """
        try:
            await self._store.delete(
                HOST_KIND, item.name, expected_revision=item.revision
            )
        except StoreConflict:
            log.info("host_address_renewed", host=item.name)


def read_endpoint(value: dict[str, Any]) -> Endpoint | None:
    """
    Parse the address in the object of a host.

    :param value: value of the object
    :return: the address; None if the value is malformed
    """
    address, port = value.get("address"), value.get("peer_port")
    if not isinstance(address, str) or not isinstance(port, int):
        return None
    return Endpoint(address, port)
