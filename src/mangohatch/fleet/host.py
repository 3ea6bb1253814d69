"""Assembles and runs one host of a fleet that shares a directory in a store."""

import asyncio
import random
from collections.abc import Iterator, Sequence
from functools import partial

import structlog

from mangohatch.clock import Clock
from mangohatch.core.call import Grant
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import Tables
from mangohatch.directory import DirectoryPart
from mangohatch.directory.table_updater import TableUpdater
from mangohatch.fleet.components import FleetComponents
from mangohatch.fleet.decisions import make_decisions
from mangohatch.fleet.guard import SystemGuard
from mangohatch.fleet.loop_delay import LoopDelay
from mangohatch.fleet.part import HostPart
from mangohatch.fleet.parts import (
    CallerEntry,
    ClientAccounts,
    DirectoryReading,
    Hedging,
    LoadProbing,
    PeerLink,
    Relays,
    Retries,
    Routing,
    TableUpdates,
    TextPages,
    Zones,
)
from mangohatch.fleet.placement import Placement
from mangohatch.fleet.settings import FleetSettings
from mangohatch.fleet.settings_file import SettingsFile
from mangohatch.loop_timers import LoopTimers
from mangohatch.metrics import Metrics, Sample, make_counter
from mangohatch.probing import LoadProbe
from mangohatch.timeline import HybridClock, Recorder
from mangohatch.upstream.load_probe import HttpLoadProbe

__all__ = ["FleetHost"]

BUSY_TICK_MS = 20.0  # resolution of deadlines and of moves off slow upstreams
IDLE_TICK_MS = 50.0  # resolution of store readings
DRAIN_RESERVE_MS = 500.0  # end of the grace period, kept for the last responses
MS_PER_S = 1000.0

log = structlog.get_logger()


class FleetHost:
    """
    One host with all its ``parts``, in the order in which they start and run.

    :param cfg: validated settings
    :param clock: source of time
    :param rng: source of random numbers
    :param components: the components that the platform adapter provides
    :param placement: placement policy, chooses the upstream of a request
    :param probe: sends load probes; over HTTP if None
    :param crash_probe: checks whether upstreams have crashed; over HTTP if None
    """

    def __init__(
        self,
        *,
        cfg: FleetSettings,
        clock: Clock,
        rng: random.Random,
        components: FleetComponents,
        placement: Placement,
        probe: LoadProbe | None = None,
        crash_probe: LoadProbe | None = None,
    ) -> None:
        self.cfg = cfg
        self._clock = clock
        self._components = components
        self._guard = SystemGuard(clock=clock)
        self._loop_delay = LoopDelay(clock=clock)
        self._was_ready = False
        self._stop_deadline_ms: float | None = None
        timers = LoopTimers()
        hybrid = HybridClock(clock=clock)
        self.tables = Tables()
        self.metrics = Metrics(clock=clock)
        self.recorder = Recorder(host=cfg.host_id, zone=cfg.zone, clock=hybrid)
        self.subset = SubsetTable(host_id=cfg.host_id)
        self.estimator = LoadEstimator(clock=clock)
        peers = PeerLink(cfg=cfg, clock=clock, hybrid=hybrid, rng=rng)
        self.bus = peers.bus
        directory = DirectoryReading(
            cfg=cfg,
            clock=clock,
            rng=rng,
            source=components.source,
            bus=self.bus,
            on_change=self._apply_part,
        )
        self.follower = directory.follower
        relays = Relays(cfg=cfg, clock=clock, rng=rng, tables=self.tables, bus=self.bus)
        self.paths = relays.paths
        self.relays = relays.chooser
        self.relay_server = relays.server
        make_probe = partial(
            HttpLoadProbe, clock=clock, dialer=relays.dialer, read=components.read_probe
        )
        decisions = make_decisions(
            cfg=cfg,
            clock=clock,
            rng=rng,
            tables=self.tables,
            subset=self.subset,
            bus=self.bus,
            timers=timers,
            estimator=self.estimator,
            recorder=self.recorder,
            placement=placement,
            crash_probe=crash_probe or make_probe(),
        )
        self.gate = decisions.gate
        self.health = decisions.health
        self._move_policy = decisions.should_move
        self.probe = probe or make_probe()
        probing = LoadProbing(
            clock=clock,
            tables=self.tables,
            subset=self.subset,
            bus=self.bus,
            timers=timers,
            estimator=self.estimator,
            decisions=decisions,
            probe=self.probe,
            enabled=placement is Placement.EXPECTED_TIME,
        )
        retries = Retries(
            bounds=cfg.bounds,
            clock=clock,
            bus=self.bus,
            timers=timers,
            services=self.subset.services,
        )
        self.budget = retries.budget
        entry = CallerEntry(
            cfg=cfg,
            clock=clock,
            tables=self.tables,
            decisions=decisions,
            budget=self.budget,
            protocol=components.protocol,
            recorder=self.recorder,
            metrics=self.metrics,
            dialer=relays.dialer,
            should_move=self.should_move,
        )
        self.pool = entry.pool
        self.request_log = entry.request_log
        self.forwarder = entry.forwarder
        self.entry = entry.server
        relays.has_requests = lambda: bool(self.forwarder.active)
        self._table_updater = updater = TableUpdater(
            clock=clock,
            tables=self.tables,
            limits=entry.limits,
            subset=self.subset,
            members=self.bus.members,
            on_unused=decisions.health.set_unused,
        )
        router, watches = decisions.router, self.follower.watches
        self.parts: Sequence[HostPart] = (
            peers,
            directory,
            TableUpdates(updater=updater, tables=self.tables),
            Zones(
                cfg=cfg, clock=clock, updater=updater, router=router, watches=watches
            ),
            probing,
            Routing(decisions=decisions, guard=self._guard),
            Hedging(hedges=decisions.hedges),
            retries,
            ClientAccounts(tables=self.tables, core=decisions, log=entry.request_log),
            relays,
            TextPages(
                cfg=cfg,
                components=components,
                metrics=self.metrics,
                get_reason=self.not_ready,
            ),
            entry,
        )
        self.metrics.add_source(self._samples)

    def _apply_part(self, part: DirectoryPart) -> None:
        self._components.apply_part(part, self._table_updater)

    def _samples(self) -> Iterator[Sample]:
        yield make_counter(
            "mangohatch_loop_delay_ms",
            "Milliseconds by which iterations of the main loop were late.",
            self._loop_delay.total_ms,
        )
        yield make_counter(
            "mangohatch_system_failures",
            "Runs of a system of this host that ended with an unexpected error.",
            self._guard.failures,
        )
        for part in self.parts:
            yield from part.samples()

    def not_ready(self) -> str | None:
        """
        Return why the balancer should not send callers to this host.

        :return: the reason, None if the host is ready
        """
        reasons = (part.not_ready() for part in reversed(self.parts))
        return next((reason for reason in reasons if reason is not None), None)

    async def start(self) -> None:
        """Start listening for peers, callers, readiness checks and scrapes."""
        for part in self.parts:
            await part.start()
        log.info("host_started", host=self.cfg.host_id, zone=self.cfg.zone)

    async def stop(self) -> None:
        """Stop all parts; after a complete drain, no request is in flight."""
        for part in reversed(self.parts):
            await part.stop()
        log.info("host_stopped", host=self.cfg.host_id)

    def leave(self) -> None:
        """Report not ready; stop accepting work once the balancer has reacted."""
        if self._stop_deadline_ms is not None:
            return
        self._stop_deadline_ms = (
            self._clock.now_ms() + self.cfg.bounds.grace_ms - DRAIN_RESERVE_MS
        )
        log.info("host_leaving", host=self.cfg.host_id)
        for part in self.parts:
            part.leave()

    def should_move(self, grant: Grant) -> bool:
        """
        Return whether a request should move to another upstream.

        A host that leaves moves none: a request that finds no other place in the rest
        of the grace period would be lost although its upstream was at work.

        :param grant: an attempt of an idempotent request without a response so far
        :return: whether to send the request to another upstream
        """
        if self._stop_deadline_ms is not None or self._move_policy is None:
            return False
        return self._move_policy(grant)

    def tick(self) -> None:
        """Run all parts once."""
        for part in self.parts:
            self._guard.run(part.name, part.tick)
        if not self._was_ready and self.not_ready() is None:
            self._was_ready = True
            log.info("host_ready", host=self.cfg.host_id)

    def _should_stop(self) -> bool:
        if self._stop_deadline_ms is None:
            return False
        drained = all(part.drained() for part in self.parts)
        return drained or self._clock.now_ms() >= self._stop_deadline_ms

    def _reload(self, settings: SettingsFile) -> None:
        cfg = settings.read_if_changed()
        if cfg is None:
            return
        self.cfg = self.cfg.update(cfg)
        for part in self.parts:
            part.reload(self.cfg)
        log.info("settings_in_force", seeds=len(cfg.seeds))

    async def run(self, leaving: asyncio.Event, settings: SettingsFile) -> None:
        """
        Serve until ``leaving`` is set, then drain and stop.

        The drain ends when no caller is connected any more, or shortly before the end
        of the grace period.

        :param leaving: set when the host has to leave
        :param settings: the settings file, read again when it changes
        """
        await self.start()
        while not self._should_stop():
            self._loop_delay.record()
            if leaving.is_set():
                self.leave()
            self._guard.run("settings", partial(self._reload, settings))
            self.tick()
            delay_ms = BUSY_TICK_MS if self.forwarder.active else IDLE_TICK_MS
            self._loop_delay.expect(delay_ms)
            await asyncio.sleep(delay_ms / MS_PER_S)
        await self.stop()
