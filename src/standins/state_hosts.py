"""Entry hosts reduced to their persistent and shared state, over stand-ins."""

import random
from dataclasses import dataclass

from mangohatch.claims.store_registry import StoreClaimRegistry
from mangohatch.claims.sweep import ClaimSweep
from mangohatch.config import ClaimSettings, ServiceSpec, StateSettings
from mangohatch.core.tables import Tables
from mangohatch.state import StateService, service_value
from mangohatch.state.host_watch import HostWatch
from mangohatch.store.base import StoredObject
from mangohatch.store.operations import with_operation
from mangohatch.timeline.recorder import HybridClock, Recorder
from standins.host_list import HostTable, MemoryHostList
from standins.memory_bus import MemoryNetwork
from standins.memory_store import MemoryStore
from standins.objects import ObjectTable
from standins.virtual_loop import LoopClock, VirtualLoop

__all__ = ["StateHost", "StateHosts"]

STEP_MS = 0.5
FLUSH_MS = 5000.0


@dataclass(slots=True, kw_only=True)
class StateHost:
    """One host with its tables, its state and its registry of keyed requests."""

    host_id: str
    tables: Tables
    state: StateService
    claims: StoreClaimRegistry
    recorder: Recorder


class StateHosts:
    """
    Several hosts that share an object table and a network, in virtual time.

    :param loop: event loop of all hosts
    :param seed: seed of all random numbers
    :param state_type: class of the state; a subclass injects a fault
    :param claims_type: class of the registry; a subclass injects a fault
    """

    def __init__(
        self,
        *,
        loop: VirtualLoop,
        seed: int = 1,
        state_type: type[StateService] = StateService,
        claims_type: type[StoreClaimRegistry] = StoreClaimRegistry,
    ) -> None:
        self.loop = loop
        self.rng = random.Random(seed)
        self.objects = ObjectTable()
        self.store = MemoryStore(table=self.objects, rng=self.rng)
        self.network = MemoryNetwork(loop=loop, rng=self.rng)
        self.live: dict[str, StateHost] = {}
        self.dead: list[StateHost] = []
        self.host_table = HostTable(clock=LoopClock(loop=loop))
        self.claim_cfg = ClaimSettings()
        self._state_type = state_type
        self._claims_type = claims_type
        self._write_count = 0

    def add(self, host_id: str, **settings: float) -> StateHost:
        """
        Start a host.

        :param host_id: id that no earlier host has used
        :param settings: state settings that differ from the defaults
        :return: the host
        """
        clock = LoopClock(loop=self.loop, wall_offset_ms=self.rng.uniform(-50.0, 50.0))
        rng = random.Random(self.rng.getrandbits(64))
        recorder = Recorder(host=host_id, zone="zone-a", clock=HybridClock(clock=clock))
        tables = Tables()
        state = self._state_type(
            cfg=StateSettings.model_validate(settings),
            store=self.store.client("state"),
            bus=self.network.join(host_id),
            tables=tables,
            clock=clock,
            rng=rng,
            recorder=recorder,
        )
        claims = self._claims_type(
            host_id=host_id,
            cfg=self.claim_cfg,
            store=self.store.client("claims"),
            clock=clock,
            rng=rng,
        )
        watch = HostWatch(
            host_list=MemoryHostList(host_table=self.host_table),
            tables=tables,
            table=state.table,
            distribution=state.distribution,
        )
        sweep = ClaimSweep(
            cfg=self.claim_cfg, store=self.store.client("sweep"), clock=clock
        )
        state.add_leaseholder_tasks([watch, sweep])
        host = StateHost(
            host_id=host_id,
            tables=tables,
            state=state,
            claims=claims,
            recorder=recorder,
        )
        self.live[host_id] = host
        self.loop.spawn(host_id, state.start())
        self.loop.spawn(host_id, claims.start())
        return host

    def kill(self, host_id: str) -> None:
        """
        Kill a host without a graceful shutdown.

        :param host_id: id of the host
        """
        self.loop.kill(host_id)
        self.dead.append(self.live.pop(host_id))

    def stop(self, host_id: str) -> int:
        """
        Shut a host down gracefully.

        :param host_id: id of the host
        :return: number of results of keyed requests that were not stored in time
        """
        host = self.live.pop(host_id)
        self.dead.append(host)
        pending = self.loop.run_until_complete(
            self.loop.spawn(host_id, host.claims.stop(FLUSH_MS))
        )
        self.loop.run_until_complete(self.loop.spawn(host_id, host.state.stop()))
        self.network.leave(host_id)
        return pending

    def holders(self) -> list[StateHost]:
        """
        List the running hosts that hold the watch lease now.

        :return: the holders; more than one only in case of a fault
        """
        return [
            host
            for host in self.live.values()
            if host.state.is_holder() and not self.loop.is_stopped(host.host_id)
        ]

    def write(self, spec: ServiceSpec) -> StoredObject:
        """
        Write a service directly to the store, without involving a host.

        :param spec: specification of the service
        :return: the object as written
        """
        self._write_count += 1
        base = self.objects.objects.get(("service", spec.name))
        value = with_operation(
            service_value(spec), operation_id=f"write-{self._write_count}", base=base
        )
        return self.objects.put(
            "service", spec.name, value, base.revision if base else None
        )

    def active_revisions(self, name: str) -> dict[str, int]:
        """
        Return the active revision of a service on each live host.

        :param name: name of the service
        :return: revisions by host id, 0 for a host without the service
        """
        return {
            host_id: (
                host.tables.services[name].revision
                if name in host.tables.services
                else 0
            )
            for host_id, host in self.live.items()
        }

    def wait_until_active(self, name: str, revision: int, limit_ms: float) -> float:
        """
        Advance time until a revision, or a later one, is active on all running hosts.

        :param name: name of the service
        :param revision: the revision
        :param limit_ms: maximum wait in milliseconds
        :return: wait in milliseconds; ``limit_ms`` when the wait timed out
        """
        started_ms = self.loop.time() * 1000.0
        while True:
            waited_ms = self.loop.time() * 1000.0 - started_ms
            revisions = self.active_revisions(name)
            running = [host for host in revisions if not self.loop.is_stopped(host)]
            if all(revisions[host] >= revision for host in running):
                return waited_ms
            if waited_ms >= limit_ms:
                return limit_ms
            self.loop.run_for(STEP_MS)
