"""Builds the persistent state of one host: configuration, orders and claims."""

import random
from collections import Counter

from mangohatch.claims.store_registry import StoreClaimRegistry
from mangohatch.claims.sweep import ClaimSweep
from mangohatch.clock import Clock
from mangohatch.config import HostSettings, Listener
from mangohatch.core.tables import Tables
from mangohatch.orders.required import (
    ListedRequirement,
    LiveMemberRequirement,
    RequiredHosts,
)
from mangohatch.orders.service import OrderService
from mangohatch.orders.view import TableView
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.directory import HostDirectory
from mangohatch.peer.tcp import TcpPeerBus
from mangohatch.state.host_watch import HostWatch
from mangohatch.state.service import StateService
from mangohatch.store.host_list import HttpHostList
from mangohatch.store.http_store import HttpObjectStore
from mangohatch.store.metered import CallBudget, MeteredStore
from mangohatch.timeline import Recorder

__all__ = ["PersistentState"]

FLUSH_TIMEOUT_MS = 10_000.0
HOST_LIST_TIMEOUT_MS = 1_000.0
CONFIG_ROLE = "config"
CLAIMS_ROLE = "claims"
SWEEP_ROLE = "sweep"


class PersistentState:
    """Active configuration, orders, and claims of keyed requests."""

    def __init__(
        self,
        *,
        cfg: HostSettings,
        api: Listener,
        clock: Clock,
        rng: random.Random,
        tables: Tables,
        bus: PeerBus,
        recorder: Recorder,
    ) -> None:
        self.calls: Counter[tuple[str, str]] = Counter()
        self.config_store = self._make_store(
            api=api,
            clock=clock,
            role=CONFIG_ROLE,
            timeout_ms=cfg.state.store_timeout_ms,
            per_second=cfg.state.store_calls_per_second,
        )
        self.claim_store = self._make_store(
            api=api,
            clock=clock,
            role=CLAIMS_ROLE,
            timeout_ms=cfg.claims.timeout_ms,
            per_second=cfg.claims.calls_per_second,
        )
        self.service = StateService(
            cfg=cfg.state,
            store=self.config_store,
            bus=bus,
            tables=tables,
            clock=clock,
            rng=rng,
            recorder=recorder,
            joined=lambda: not isinstance(bus, TcpPeerBus) or bus.joined,
        )
        self.claims = StoreClaimRegistry(
            host_id=cfg.host_id,
            cfg=cfg.claims,
            store=self.claim_store,
            clock=clock,
            rng=rng,
        )
        self.view = TableView(table=self.service.table, tables=tables)
        self.orders = OrderService(
            bus=bus,
            clock=clock,
            rng=rng,
            store=self.config_store,
            view=self.view,
            hosts=make_requirement(bus, cfg.host_list),
            serving=self.service.ready,
            publish=self.service.publish,
            recorder=recorder,
        )
        self.directory = (
            HostDirectory(
                store=self.config_store,
                membership=bus.membership,
                clock=clock,
                rng=rng,
            )
            if isinstance(bus, TcpPeerBus)
            else None
        )
        self.sweep = ClaimSweep(
            cfg=cfg.claims,
            store=self._make_store(
                api=api,
                clock=clock,
                role=SWEEP_ROLE,
                timeout_ms=cfg.state.store_timeout_ms,
                per_second=cfg.claims.sweep_calls_per_second,
            ),
            clock=clock,
        )
        self.service.add_leaseholder_tasks([self.sweep])
        if cfg.host_list is not None:
            self._watch_hosts(cfg, cfg.host_list, tables)

    def _make_store(
        self,
        *,
        api: Listener,
        clock: Clock,
        role: str,
        timeout_ms: float,
        per_second: float,
    ) -> MeteredStore:
        return MeteredStore(
            store=HttpObjectStore(
                address=api.address, port=api.port, role=role, timeout_ms=timeout_ms
            ),
            role=role,
            budget=CallBudget(per_second=per_second, clock=clock),
            calls=self.calls,
        )

    def _watch_hosts(self, cfg: HostSettings, api: Listener, tables: Tables) -> None:
        host_list = HttpHostList(
            address=api.address,
            port=api.port,
            timeout_ms=cfg.state.store_timeout_ms,
        )
        watch = HostWatch(
            host_list=host_list,
            tables=tables,
            table=self.service.table,
            distribution=self.service.distribution,
        )
        self.service.add_leaseholder_tasks([watch])

    async def start(self) -> None:
        """Start reading the configuration and writing the results of claims."""
        await self.service.start()
        await self.claims.start()
        if self.directory is not None:
            await self.directory.start()

    async def stop(self) -> None:
        """Write pending claim results, then release the watch lease."""
        await self.orders.stop()
        if self.directory is not None:
            await self.directory.stop()
        await self.claims.stop(FLUSH_TIMEOUT_MS)
        await self.service.stop()


def make_requirement(bus: PeerBus, host_list: Listener | None) -> RequiredHosts:
    """
    Choose how the hosts that must agree to an order are determined.

    With a host list, a dead member is required until the list no longer names it.
    Otherwise only the members believed alive are required.

    :param bus: message bus to the other hosts
    :param host_list: address of the platform's host list, None without one
    :return: the rule that determines the required hosts
    """
    if host_list is None or not isinstance(bus, TcpPeerBus):
        return LiveMemberRequirement(bus=bus)
    listing = HttpHostList(
        address=host_list.address,
        port=host_list.port,
        timeout_ms=HOST_LIST_TIMEOUT_MS,
    )
    return ListedRequirement(membership=bus.membership, host_list=listing)
