"""Builds the configuration state of one host from its parts."""

import asyncio
import random
from collections.abc import Callable, Sequence

from mangohatch.clock import Clock
from mangohatch.config import StateSettings
from mangohatch.core.tables import Tables
from mangohatch.peer.bus import PeerBus
from mangohatch.state.config_table import ConfigTable
from mangohatch.state.distribution import Distribution
from mangohatch.state.election import Election
from mangohatch.state.items import to_config_item
from mangohatch.state.joining import Joining, Readiness
from mangohatch.state.lease import Lease
from mangohatch.state.leaseholder_task import LeaseholderTask
from mangohatch.state.reader import ConfigReader
from mangohatch.state.watcher import Heartbeat, Watcher
from mangohatch.store.base import ObjectStore, StoredObject
from mangohatch.timeline.recorder import Recorder

__all__ = ["StateService"]

LEASE_NAME = "config-watch"
MS_PER_S = 1000.0


class StateService:
    """
    Applies the configuration on this host and distributes it to other hosts.

    :param cfg: times and limits
    :param store: client of the object API, with the budget of configuration calls
    :param bus: sends and receives messages
    :param tables: tables of the decision core
    :param clock: clock of this host
    :param rng: random source; must be seeded differently in each process
    :param recorder: time line that receives the events
    :param joined: returns whether the bus has the member list of the fleet
    """

    table_type = ConfigTable
    lease_type = Lease
    joining_type = Joining

    def __init__(
        self,
        *,
        cfg: StateSettings,
        store: ObjectStore,
        bus: PeerBus,
        tables: Tables,
        clock: Clock,
        rng: random.Random,
        recorder: Recorder,
        joined: Callable[[], bool] = lambda: True,
    ) -> None:
        self._cfg = cfg
        self._tasks: list[asyncio.Task[None]] = []
        instance = f"{bus.host_id}:{rng.getrandbits(64):016x}"
        self.table = self.table_type(tables=tables, recorder=recorder)
        self.lease = self.lease_type(
            name=LEASE_NAME,
            holder=instance,
            duration_ms=cfg.lease_ms,
            store=store,
            clock=clock,
            rng=rng,
        )
        self.distribution = Distribution(
            cfg=cfg,
            bus=bus,
            table=self.table,
            lease=self.lease,
            clock=clock,
            rng=rng,
        )
        reader = ConfigReader(store=store, table=self.table)
        self.election = Election(
            cfg=cfg,
            host_id=bus.host_id,
            lease=self.lease,
            reader=reader,
            distribution=self.distribution,
            clock=clock,
            rng=rng,
            recorder=recorder,
        )
        self.joining = self.joining_type(
            cfg=cfg,
            instance=instance,
            store=store,
            reader=reader,
            table=self.table,
            distribution=self.distribution,
            joined=joined,
            clock=clock,
            rng=rng,
        )
        watcher = Watcher(
            cfg=cfg,
            reader=reader,
            distribution=self.distribution,
            lease=self.lease,
            clock=clock,
            rng=rng,
        )
        heartbeat = Heartbeat(
            interval_ms=cfg.heartbeat_ms, distribution=self.distribution
        )
        self.add_leaseholder_tasks([watcher, heartbeat])

    def add_leaseholder_tasks(
        self, leaseholder_tasks: Sequence[LeaseholderTask]
    ) -> None:
        """
        Add tasks that only the lease holder runs; call before :meth:`start`.

        :param leaseholder_tasks: tasks to run while this host holds the lease
        """
        self.election.leaseholder_tasks.extend(leaseholder_tasks)

    async def start(self) -> None:
        """Start joining, the election and the exchange of digests."""
        coroutines = (self.joining.run(), self.election.run(), self._exchange_digests())
        self._tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]

    async def stop(self) -> None:
        """Stop all tasks and release the lease if it is held."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.election.stop()

    def ready(self) -> bool:
        """
        Return whether this host has the configuration and may serve requests.

        :return: True once the host is ready; a later store outage does not reset it
        """
        return self.joining.readiness is Readiness.READY

    def readiness(self) -> Readiness:
        """
        Return whether this host is ready, and the reason when it is not.

        :return: the reason, or ready
        """
        return self.joining.readiness

    def is_holder(self) -> bool:
        """
        Return whether this host holds the watch lease now.

        :return: whether the term of this host has not ended
        """
        return self.lease.held()

    def revision_of(self, kind: str, name: str) -> int:
        """
        Return the revision of an object on this host.

        :param kind: kind of object
        :param name: name within the kind
        :return: the revision, 0 when the object is not in the table
        """
        return self.table.revision_of(kind, name)

    def publish(self, stored: StoredObject) -> None:
        """
        Apply an object that this host has just written, and push it to peers.

        :param stored: the object as written
        """
        item = to_config_item(stored)
        self.table.apply(item)
        self.distribution.push_as_writer([item])

    async def _exchange_digests(self) -> None:
        while True:
            await asyncio.sleep(self._cfg.digest_ms / MS_PER_S)
            self.distribution.send_digest()
