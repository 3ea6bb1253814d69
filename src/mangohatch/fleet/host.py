"""Assembles and runs one host of a fleet that shares a directory in a store."""

import asyncio
import random
from collections.abc import Iterator
from dataclasses import replace
from functools import partial

import structlog

from mangohatch.clock import Clock
from mangohatch.core.call import Grant
from mangohatch.core.limits.retry_permits import RetryPermits
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.paths import PathTable, RelayChooser
from mangohatch.core.retry import FleetRetryBudget
from mangohatch.core.signs import SignSettings
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import Tables
from mangohatch.directory import DirectoryFollower, DirectoryPart
from mangohatch.directory.table_updater import TableUpdater
from mangohatch.entry.forwarder import Forwarder
from mangohatch.entry.limits import CallerLimits
from mangohatch.entry.observer import ObserverGroup
from mangohatch.entry.server import EntryServer
from mangohatch.fleet.components import FleetComponents
from mangohatch.fleet.decisions import make_decisions
from mangohatch.fleet.guard import SystemGuard
from mangohatch.fleet.loop_delay import LoopDelay
from mangohatch.fleet.placement import Placement
from mangohatch.fleet.request_log import RequestLog
from mangohatch.fleet.settings import FleetSettings
from mangohatch.fleet.settings_file import SettingsFile
from mangohatch.fleet.text_server import TextResponse, TextServer
from mangohatch.loop_timers import LoopTimers
from mangohatch.metrics import Metrics, Sample, SampleKind, make_counter
from mangohatch.metrics.observer import MetricsObserver
from mangohatch.peer.datagram import DatagramPeerBus
from mangohatch.probing import LoadProbe, LoadReports, ProbingSystem
from mangohatch.relay import RelayAdmission, RelayClient, RelayDialer, RelayServer
from mangohatch.timeline import HybridClock, Recorder
from mangohatch.upstream.load_probe import HttpLoadProbe
from mangohatch.upstream.pool import ConnectionPool

__all__ = ["FleetHost"]

BUSY_TICK_MS = 20.0  # resolution of deadlines and of moves off slow upstreams
IDLE_TICK_MS = 50.0  # resolution of store readings
BALANCER_DELAY_MS = 3_000.0  # two failed readiness checks, one a second, one in reserve
DRAIN_RESERVE_MS = 500.0  # end of the grace period, kept for the last responses
MS_PER_S = 1000.0
READY = 200
NOT_READY = 503

log = structlog.get_logger()


class FleetHost:
    """
    One host with all its systems.

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
        self._rng = rng
        self._components = components
        self._probes_load = placement is Placement.EXPECTED_TIME
        self.tables = Tables()
        hybrid = HybridClock(clock=clock)
        self.recorder = Recorder(host=cfg.host_id, zone=cfg.zone, clock=hybrid)
        self.bus = DatagramPeerBus(
            host_id=cfg.host_id,
            zone=cfg.zone,
            address=cfg.peers,
            seeds=cfg.seeds,
            clock=clock,
            hybrid=hybrid,
            rng=rng,
        )
        limits = CallerLimits()
        self.subset = SubsetTable(host_id=cfg.host_id)
        self.follower = DirectoryFollower(
            clock=clock,
            rng=rng,
            source=components.source,
            bus=self.bus,
            on_change=self._apply_part,
            first_start=cfg.first_start,
        )
        self.estimator = LoadEstimator(clock=clock)
        timers = LoopTimers()
        self.paths = PathTable(clock=clock, tables=self.tables)
        self.relays = RelayChooser(clock=clock, rng=rng, bus=self.bus, zone=cfg.zone)
        dialer = RelayDialer(
            paths=self.paths,
            chooser=self.relays,
            client=RelayClient(bus=self.bus),
            clock=clock,
        )
        self._dialer = dialer
        self.relay_server = RelayServer(
            bus=self.bus,
            admission=RelayAdmission(tables=self.tables, paths=self.paths),
            paths=self.paths,
        )
        decisions = make_decisions(
            clock=clock,
            rng=rng,
            tables=self.tables,
            subset=self.subset,
            bus=self.bus,
            timers=timers,
            estimator=self.estimator,
            recorder=self.recorder,
            zone=cfg.zone,
            placement=placement,
            crash_probe=crash_probe
            or HttpLoadProbe(clock=clock, dialer=dialer, read=components.read_probe),
            sign_settings=SignSettings(max_pause_ms=cfg.bounds.max_pause_ms),
        )
        self.gate = decisions.gate
        self.health = decisions.health
        self._move_policy = decisions.should_move
        self._limits = decisions.limits
        self._signs = decisions.signs
        self._table_updater = TableUpdater(
            clock=clock,
            tables=self.tables,
            limits=limits,
            subset=self.subset,
            members=self.bus.members,
            on_unused=decisions.health.set_unused,
        )
        self.probe = probe or HttpLoadProbe(
            clock=clock, dialer=dialer, read=components.read_probe
        )
        self.reports = LoadReports(
            clock=clock,
            tables=self.tables,
            subset=self.subset,
            bus=self.bus,
            timers=timers,
            estimator=self.estimator,
            on_load=decisions.router.serve_soon,
            signs=decisions.signs,
        )
        decisions.limits.on_limit = self.reports.add
        self.probing = ProbingSystem(
            clock=clock,
            tables=self.tables,
            subset=self.subset,
            probe=self.probe,
            reports=self.reports,
            timers=timers,
            estimator=self.estimator,
            on_load=decisions.router.serve_soon,
            signs=decisions.signs,
        )
        self.pool = ConnectionPool(clock=clock, dialer=dialer)
        decisions.signs.on_leaving = self.pool.drop_idle
        self._retry_permits = RetryPermits(
            clock=clock,
            bus=self.bus,
            timers=timers,
            services=self.subset.services,
            slack=cfg.bounds.retry_slack,
            window_ms=cfg.bounds.retry_window_ms,
        )
        self.budget = FleetRetryBudget(
            clock=clock,
            ratio=cfg.bounds.retry_ratio,
            window_ms=cfg.bounds.retry_window_ms,
            permits=self._retry_permits,
        )
        self.request_log = RequestLog(clock=clock)
        self.metrics = Metrics(clock=clock)
        self.metrics.add_source(self._samples)
        self.forwarder = Forwarder(
            clock=clock,
            router=self.gate,
            pool=self.pool,
            budget=self.budget,
            protocol=components.protocol,
            recorder=self.recorder,
            observer=ObserverGroup(
                observers=[
                    self.request_log,
                    MetricsObserver(clock=clock, metrics=self.metrics),
                ]
            ),
            should_move=self.should_move,
        )
        self.entry = EntryServer(
            host_id=cfg.host_id,
            clock=clock,
            tables=self.tables,
            forwarder=self.forwarder,
            balancer_delay_ms=BALANCER_DELAY_MS,
            limits=limits,
        )
        self._readiness = TextServer(
            pages={components.readiness_path: self._answer_readiness}
        )
        self._metrics = TextServer(
            pages={components.metrics_path: self._render_metrics}
        )
        self._loop_delay = LoopDelay(clock=clock)
        self._guard = SystemGuard(clock=clock)
        self._was_ready = False
        self._stop_deadline_ms: float | None = None

    def _apply_part(self, part: DirectoryPart) -> None:
        self._components.apply_part(part, self._table_updater)

    def _answer_readiness(self) -> TextResponse:
        reason = self.not_ready()
        return (READY, "ready\n") if reason is None else (NOT_READY, f"{reason}\n")

    def _render_metrics(self) -> TextResponse:
        # Imported here because only a scrape needs the exposition library.
        from mangohatch.metrics.exposition import Exposition

        return READY, Exposition(metrics=self.metrics).render().decode()

    def _samples(self) -> Iterator[Sample]:
        for name, description, value in (
            ("store_calls", "Calls to the store.", self.follower.calls),
            (
                "store_calls_failed",
                "Calls to the store without a usable answer.",
                self.follower.failed_calls,
            ),
            ("load_questions", "Upstreams asked for load.", self.probing.probes_sent),
            (
                "load_connections",
                "Connections opened to ask for load.",
                self.probe.connections,
            ),
            (
                "log_lines_dropped",
                "Lines of requests left out to bound the log.",
                self.request_log.dropped,
            ),
            (
                "loop_delay_ms",
                "Milliseconds by which iterations of the main loop were late.",
                self._loop_delay.total_ms,
            ),
            (
                "upstream_crashes",
                "Crashes of upstreams under requests of this host.",
                self.gate.crashes,
            ),
            (
                "requests_quarantined",
                "Requests refused because their copies crashed upstreams.",
                self.gate.refused,
            ),
            (
                "permits_granted",
                "Permits given to hosts for upstreams that name a limit.",
                self._limits.broker.granted,
            ),
            (
                "permits_used",
                "Requests sent to upstreams that name a limit.",
                self._limits.used,
            ),
            (
                "upstreams_leaving",
                "Upstreams that this host knew to leave.",
                self._signs.leavings,
            ),
            (
                "upstream_pauses",
                "Pauses that upstreams asked of this host.",
                self._signs.pauses,
            ),
            (
                "retry_permits_granted",
                "Retries permitted to hosts from the slack of the retry budget.",
                self._retry_permits.granted,
            ),
            (
                "system_failures",
                "Runs of a system of this host that ended with an unexpected error.",
                self._guard.failures,
            ),
            (
                "relays_opened",
                "Connections to upstreams that this host opened through peers.",
                self.relays.opened,
            ),
            (
                "relays_served",
                "Connections to upstreams that this host opened for peers.",
                self.relay_server.relayed,
            ),
            (
                "relays_refused",
                "Connections to upstreams that this host did not open for peers.",
                self.relay_server.refused,
            ),
            ("peer_datagrams_sent", "Datagrams sent to peers.", self.bus.sent),
            (
                "peer_datagrams_received",
                "Datagrams received from peers.",
                self.bus.received,
            ),
            (
                "peer_datagrams_failed",
                "Datagrams that were malformed or whose handling failed.",
                self.bus.failed,
            ),
        ):
            yield make_counter(f"mangohatch_{name}", description, value)
        for result, count in self.paths.connects.items():
            yield make_counter(
                "mangohatch_upstream_connects",
                "Direct connections to upstreams that were opened or failed.",
                count,
                result=result,
            )
        for part in self.follower.parts:
            yield Sample(
                name="mangohatch_directory_age_ms",
                help="Time since the store was known to hold this host's copy.",
                kind=SampleKind.GAUGE,
                value=self.follower.age_ms(part),
                labels=(("part", part),),
            )

    def not_ready(self) -> str | None:
        """
        Return why the balancer should not send callers to this host.

        :return: the reason, None if the host is ready
        """
        if not self.entry.ready:
            return "leaving"
        if not self.follower.known or not self.tables.routes.revision:
            return "directory unknown"
        return None

    async def start(self) -> None:
        """Start listening for peers, callers, readiness checks and scrapes."""
        cfg = self.cfg
        await self.bus.start()
        self.relay_server.listen(cfg.peers[1], cfg.peers[0])
        self._readiness.listen(*cfg.readiness)
        self._metrics.listen(*cfg.metrics)
        self.entry.listen(*cfg.entry)
        log.info("host_started", host=cfg.host_id, zone=cfg.zone)

    async def stop(self) -> None:
        """Stop all components; after a complete drain, no request is in flight."""
        await self.follower.stop()
        await self.entry.close()
        self.probe.close()
        self._readiness.stop()
        self._metrics.stop()
        self.relay_server.close()
        self.bus.stop()
        self.pool.close()
        log.info("host_stopped", host=self.cfg.host_id)

    def leave(self) -> None:
        """Report not ready; stop accepting work once the balancer has reacted."""
        if self._stop_deadline_ms is not None:
            return
        self._stop_deadline_ms = (
            self._clock.now_ms() + self.cfg.bounds.grace_ms - DRAIN_RESERVE_MS
        )
        log.info("host_leaving", host=self.cfg.host_id)
        self.bus.set_leaving()
        self.relay_server.leave()
        self.entry.begin_drain()

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
        """Run all systems once."""
        run = self._guard.run
        run("peers", self.bus.tick)
        run("directory", self.follower.tick)
        run("tables", self._table_updater.tick)
        if self._probes_load:
            run("probing", self.probing.tick)
        run("router", self.gate.tick)
        run("limits", self._limits.tick)
        run("signs", self._signs.tick)
        run("retry permits", self._retry_permits.tick)
        run("paths", self._check_paths)
        run("entry", self.entry.tick)
        run("metrics", self.metrics.tick)
        if not self._was_ready and self.not_ready() is None:
            self._was_ready = True
            log.info("host_ready", host=self.cfg.host_id)

    def _check_paths(self) -> None:
        self._dialer.tick(waiting=bool(self.forwarder.active))

    def _should_stop(self) -> bool:
        if self._stop_deadline_ms is None:
            return False
        drained = self.entry.drained() and not self.relay_server.active
        return drained or self._clock.now_ms() >= self._stop_deadline_ms

    def _reload(self, settings: SettingsFile) -> None:
        cfg = settings.read_if_changed()
        if cfg is None:
            return
        # Addresses and the host's identity can't change while the process runs.
        self.bus.set_seeds(cfg.seeds)
        self.budget.set_bounds(
            ratio=cfg.bounds.retry_ratio, slack=cfg.bounds.retry_slack
        )
        self._signs.cfg = SignSettings(max_pause_ms=cfg.bounds.max_pause_ms)
        self.cfg = replace(self.cfg, seeds=cfg.seeds, bounds=cfg.bounds)
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
