"""Assembles the components of one entry host and runs them."""

import asyncio
import random

import structlog

from mangohatch.clock import Clock
from mangohatch.config import HostSettings
from mangohatch.core.paths import PathTable
from mangohatch.core.tables import Tables
from mangohatch.entry.forwarder import Forwarder
from mangohatch.entry.server import EntryServer
from mangohatch.host.admin import make_admin, newest_revision
from mangohatch.host.routing import make_routing
from mangohatch.host.samples import (
    measuring_samples,
    store_samples,
)
from mangohatch.host.state import PersistentState
from mangohatch.metrics import Metrics
from mangohatch.metrics.observer import MetricsObserver
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.local import LocalPeerBus
from mangohatch.peer.membership import Endpoint
from mangohatch.peer.tcp import TcpPeerBus
from mangohatch.timeline import EventKind, HybridClock, Recorder
from mangohatch.upstream.dialer import Dialer
from mangohatch.upstream.pool import ConnectionPool

__all__ = ["EntryHost"]

BUSY_TICK_MS = 10.0
IDLE_TICK_MS = 100.0
MS_PER_S = 1000.0
LEAVING = "leaving"
REPLACED = "replaced"

log = structlog.get_logger()


class EntryHost:
    """
    One entry host with all of its components.

    :param cfg: validated settings
    :param clock: source of time
    """

    def __init__(self, *, cfg: HostSettings, clock: Clock) -> None:
        self.cfg = cfg
        self._wake = asyncio.Event()
        self._rng = random.Random()
        self.tables = Tables()
        for spec in cfg.services:
            self.tables.apply(spec, revision=0)
        self.recorder = Recorder(
            host=cfg.host_id, zone=cfg.zone, clock=HybridClock(clock=clock)
        )
        self.bus = self._make_bus(clock)
        self.routing = make_routing(
            clock=clock,
            rng=self._rng,
            tables=self.tables,
            bus=self.bus,
            recorder=self.recorder,
        )
        self.state = self._make_state(clock)
        self.metrics = self._make_metrics(clock)
        self.pool = ConnectionPool(
            clock=clock, dialer=Dialer(paths=PathTable(clock=clock, tables=self.tables))
        )
        forwarder = Forwarder(
            clock=clock,
            router=self.routing.gate,
            pool=self.pool,
            registry=self.state.claims if self.state else None,
            recorder=self.recorder,
            observer=MetricsObserver(
                clock=clock, metrics=self.metrics, on_request_started=self._wake.set
            ),
        )
        self.entry = EntryServer(
            host_id=cfg.host_id,
            clock=clock,
            tables=self.tables,
            forwarder=forwarder,
            balancer_delay_ms=cfg.balancer_delay_ms,
        )
        self.admin = make_admin(
            clock=clock,
            tables=self.tables,
            bus=self.bus,
            recorder=self.recorder,
            routing=self.routing,
            metrics=self.metrics,
            not_ready=self.not_ready,
            view=self.state.view if self.state else None,
            orders=self.state.orders if self.state else None,
        )
        self.started = False
        self._was_ready = False

    def _make_bus(self, clock: Clock) -> PeerBus:
        cfg = self.cfg
        if cfg.peer is None:
            return LocalPeerBus(host_id=cfg.host_id, zone=cfg.zone)
        return TcpPeerBus(
            host_id=cfg.host_id,
            zone=cfg.zone,
            endpoint=Endpoint(address=cfg.peer.address, port=cfg.peer.port),
            admin_port=cfg.admin.port if cfg.admin else 0,
            seeds=[
                Endpoint(address=seed.address, port=seed.port) for seed in cfg.seeds
            ],
            clock=clock,
            rng=self._rng,
            recorder=self.recorder,
        )

    def _make_state(self, clock: Clock) -> PersistentState | None:
        if self.cfg.object_api is None:
            return None
        return PersistentState(
            cfg=self.cfg,
            api=self.cfg.object_api,
            clock=clock,
            rng=self._rng,
            tables=self.tables,
            bus=self.bus,
            recorder=self.recorder,
        )

    def _make_metrics(self, clock: Clock) -> Metrics:
        metrics = Metrics(clock=clock)
        counters = self.routing.chooser.counters
        metrics.add_source(lambda: measuring_samples(counters))
        if isinstance(self.bus, TcpPeerBus):
            metrics.add_source(self.bus.counters.samples)
        if self.state is not None:
            calls = self.state.calls
            metrics.add_source(lambda: store_samples(calls))
        return metrics

    def not_ready(self) -> str | None:
        """
        Return why the load balancer should send no callers to this host.

        :return: the reason, None when the host is ready
        """
        if not self.entry.ready:
            return LEAVING
        if isinstance(self.bus, TcpPeerBus) and self.bus.replaced:
            return REPLACED
        if self.state is not None and not self.state.service.ready():
            return str(self.state.service.readiness())
        return None

    async def start(self) -> None:
        """Join the fleet, load the configuration and listen for callers."""
        if isinstance(self.bus, TcpPeerBus):
            await self.bus.start()
        if self.state is not None:
            await self.state.start()
        self.entry.listen(self.cfg.entry.address, self.cfg.entry.port)
        if self.cfg.admin is not None:
            self.admin.listen(self.cfg.admin.address, self.cfg.admin.port)
        self.recorder.record(EventKind.HOST_STARTED)
        self.started = True
        log.info("host_started", host=self.cfg.host_id, zone=self.cfg.zone)

    async def leave(self) -> None:
        """
        Announce that this host is leaving and start its drain.

        The entry server accepts new requests until the balancer delay has passed.
        """
        self.recorder.record(EventKind.HOST_LEAVING)
        log.info("host_leaving", host=self.cfg.host_id)
        self.entry.begin_drain()
        if isinstance(self.bus, TcpPeerBus):
            await self.bus.leave()

    async def stop(self) -> None:
        """Close all components; called after the drain, when no request is active."""
        await self.entry.close()
        if self.state is not None:
            await self.state.stop()
        if isinstance(self.bus, TcpPeerBus):
            await self.bus.stop()
        await self.admin.close()
        self.pool.close()
        log.info("host_stopped", host=self.cfg.host_id)

    def tick(self) -> None:
        """Run every periodic component once."""
        self._sync_membership()
        self.routing.tick()
        self.entry.tick()
        self.metrics.tick()
        if not self._was_ready and self.not_ready() is None:
            self._was_ready = True
            self.recorder.record(EventKind.HOST_READY)
            log.info("host_ready", host=self.cfg.host_id)

    def _is_replaced(self) -> bool:
        return isinstance(self.bus, TcpPeerBus) and self.bus.replaced

    async def _wait_for_next_tick(self) -> None:
        # No deadline has to be enforced while no request is in flight.
        if self.entry.forwarder.active:
            await asyncio.sleep(BUSY_TICK_MS / MS_PER_S)
            return
        self._wake.clear()
        try:
            async with asyncio.timeout(IDLE_TICK_MS / MS_PER_S):
                await self._wake.wait()
        except TimeoutError:
            return

    def _sync_membership(self) -> None:
        if isinstance(self.bus, TcpPeerBus):
            self.bus.membership.set_config_revision(newest_revision(self.tables))
            self.pool.share = 1.0 / len(self.bus.members())

    async def run(self, leaving: asyncio.Event) -> None:
        """
        Serve until ``leaving`` is set, then drain and stop.

        The host also leaves when another host has replaced it.

        :param leaving: event that is set when the host has to leave
        """
        await self.start()
        announced = False
        while not self.entry.drained():
            if self._is_replaced():
                leaving.set()
            if leaving.is_set() and not announced:
                announced = True
                await self.leave()
            self.tick()
            await self._wait_for_next_tick()
        await self.stop()
