"""Assembles one host of a fleet that shares a directory in a store."""

import random
from collections.abc import Mapping
from functools import partial

from mangohatch.clock import Clock
from mangohatch.core.call import Grant
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import Tables
from mangohatch.directory import DirectoryPart
from mangohatch.directory.table_updater import TableUpdater
from mangohatch.fleet.components import FleetComponents
from mangohatch.fleet.decisions import make_decisions
from mangohatch.fleet.lifecycle import HostLifecycle
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
from mangohatch.loop_timers import LoopTimers
from mangohatch.probing import LoadProbe
from mangohatch.timeline import HybridClock, Recorder
from mangohatch.upstream.load_probe import HttpLoadProbe

__all__ = ["FleetHost"]


class FleetHost(HostLifecycle):
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
        super().__init__(cfg=cfg, clock=clock)
        self._components = components
        timers = LoopTimers()
        hybrid = HybridClock(clock=clock)
        self.tables = Tables()
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
            describe_directory=self.describe_directory,
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
        self.parts = (
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

    def _apply_part(self, part: DirectoryPart) -> None:
        self._components.apply_part(part, self._table_updater)

    def describe_directory(self) -> Mapping[str, object]:
        follower = self.follower
        known = [name for name in follower.parts if follower.part(name).known]
        fields: dict[str, object] = {"config_version": self.tables.routes.version}
        if known:
            fields["directory_age_ms"] = int(max(map(follower.age_ms, known)))
        return fields

    def should_move(self, grant: Grant) -> bool:
        """
        Return whether a request should move to another upstream.

        A host that leaves moves none: a request that finds no other place in the rest
        of the grace period would be lost although its upstream was at work.

        :param grant: an attempt of an idempotent request without a response so far
        :return: whether to send the request to another upstream
        """
        if self.leaving or self._move_policy is None:
            return False
        return self._move_policy(grant)

    def is_busy(self) -> bool:
        return bool(self.forwarder.active)
