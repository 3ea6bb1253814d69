"""Tests of load probes, with each upstream probed by one host for all hosts."""

import random
from collections import Counter

from mangohatch.core.load import UpstreamLoad
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.signs import SignSystem
from mangohatch.core.spec import DiscoveredService, DiscoveredUpstream
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import Tables
from mangohatch.core.timers import Timers
from mangohatch.probing import (
    LoadProbe,
    LoadReports,
    ProbeResult,
    ProbeSettings,
    ProbingSystem,
)
from tests.functions import fixture, function_tests
from tests.network import ManualNetwork, ManualPeerBus

load_tests = function_tests(__name__)

HOSTS = 5
UPSTREAMS = 10
TICK_MS = 10.0
PERIOD_MS = 300.0


def make_service(upstreams=UPSTREAMS, *, removed=()):
    return DiscoveredService(
        name="desk",
        max_queue_wait_ms=100.0,
        health_path="/healthz",
        upstreams=tuple(
            DiscoveredUpstream(
                name=f"u{number}",
                address="127.0.0.1",
                port=1 + number,
                zone="z",
                slots=2,
                connections=10,
            )
            for number in range(upstreams)
            if f"u{number}" not in removed
        ),
    )


class FakeUpstreams:
    """Simulated upstreams; the speed of each changes randomly at its own phase."""

    def __init__(self, clock):
        self.clock = clock
        self.rng = random.Random(3)
        self.phases = {f"u{n}": self.rng.uniform(0, PERIOD_MS) for n in range(50)}
        self.speeds = {}
        self.silent = set()
        self.wrong_instances = set()
        self.probed = Counter()

    def slowdown(self, name):
        epoch = int((self.clock.now_ms() - self.phases[name]) // PERIOD_MS)
        key = (name, epoch)
        if key not in self.speeds:
            self.speeds[key] = 4.0 if self.rng.random() < 0.25 else 1.0
        return self.speeds[key]


class FakeProbe(LoadProbe):
    def __init__(self, fakes):
        self.fakes = fakes

    def send(self, row, path, done):
        self.fakes.probed[row.name] += 1
        now_ms = self.fakes.clock.now_ms()
        if row.name in self.fakes.silent:
            done(ProbeResult(load=None, measured_ms=now_ms))
            return
        slowdown = self.fakes.slowdown(row.name)
        load = UpstreamLoad(running=0, waiting=0, slots=2, slowdown=slowdown)
        name = "other" if row.name in self.fakes.wrong_instances else row.name
        done(ProbeResult(load=load, measured_ms=now_ms, instance=name))

    def retain(self, rows):
        return None


class TickTimers(Timers):
    """Timers that a test runs after it advances the clock."""

    def __init__(self, clock):
        self.clock = clock
        self.due = []

    def call_later(self, delay_ms, function):
        self.due.append((self.clock.now_ms() + delay_ms, function))

    def run(self):
        now_ms = self.clock.now_ms()
        ready = [function for due_ms, function in self.due if due_ms <= now_ms]
        self.due = [item for item in self.due if item[0] > now_ms]
        for function in ready:
            function()


class Host:
    def __init__(self, network, fakes, name, cfg, upstreams):
        self.clock = fakes.clock
        self.tables = Tables()
        self.tables.apply(make_service(upstreams), revision=1)
        self.estimator = LoadEstimator(clock=self.clock)
        self.bus = ManualPeerBus(network=network, name=name)
        self.subset = SubsetTable(host_id=name)
        self.subset.set_upstreams("desk", [row.name for row in self.tables.upstreams()])
        self.notified = Counter()
        self.timers = TickTimers(self.clock)
        self.signs = SignSystem(
            clock=self.clock,
            rng=random.Random(name),
            tables=self.tables,
            subset=self.subset,
            bus=self.bus,
            timers=self.timers,
        )
        self.reports = LoadReports(
            clock=self.clock,
            tables=self.tables,
            subset=self.subset,
            bus=self.bus,
            timers=self.timers,
            estimator=self.estimator,
            on_load=lambda service: self.notified.update([service]),
            signs=self.signs,
        )
        self.system = ProbingSystem(
            clock=self.clock,
            tables=self.tables,
            subset=self.subset,
            probe=FakeProbe(fakes),
            reports=self.reports,
            timers=self.timers,
            estimator=self.estimator,
            on_load=lambda service: self.notified.update([service]),
            signs=self.signs,
            cfg=cfg,
        )

    def tick(self):
        self.subset.set_members(self.bus.members())
        self.system.tick()

    def stale_speeds(self, fakes):
        """Return the upstreams whose last reported speed is no longer correct."""
        rows = self.tables.services["desk"].upstreams.values()
        return [
            row.name
            for row in rows
            if row.load.load is not None
            and row.load.load.slowdown != fakes.slowdown(row.name)
        ]


class Fleet:
    def __init__(self, clock, *, cfg=None, upstreams=UPSTREAMS):
        self.clock = clock
        self.fakes = FakeUpstreams(clock)
        self.network = ManualNetwork()
        names = [f"h{number}" for number in range(HOSTS)]
        self.hosts = [
            Host(self.network, self.fakes, name, cfg, upstreams) for name in names
        ]

    def run(self, span_ms, *, observe=None):
        for _ in range(int(span_ms / TICK_MS)):
            self.clock.advance(TICK_MS)
            for host in self.hosts:
                host.tick()
                host.timers.run()
            self.network.deliver()
            if observe is not None:
                observe()


@fixture
def fleet(clock):
    return Fleet(clock)


def test_each_upstream_is_probed_by_one_host(fleet):
    fleet.run(TICK_MS)
    assert set(fleet.fakes.probed.values()) == {1}
    assert len(fleet.fakes.probed) == UPSTREAMS


def test_reports_reach_all_hosts(fleet):
    fleet.run(500.0)
    for host in fleet.hosts:
        rows = host.tables.services["desk"].upstreams.values()
        assert all(row.load.load is not None for row in rows)


def test_probe_rate_is_bounded_once_phases_are_known(fleet):
    fleet.run(5_000.0)
    fleet.fakes.probed.clear()
    fleet.run(20_000.0)
    per_second = sum(fleet.fakes.probed.values()) / UPSTREAMS / 20.0
    assert per_second <= 5.0, per_second


def test_probe_rate_is_bounded_including_the_search(clock):
    fleet = Fleet(clock, upstreams=35)
    fleet.run(40_000.0)
    per_second = sum(fleet.fakes.probed.values()) / 35 / 40.0
    assert per_second <= 5.0, per_second


def stale_share(fleet):
    """Return the share of time in which the speeds known to a host are stale."""
    fleet.run(6_000.0)
    stale_speeds = []
    fleet.run(
        10_000.0,
        observe=lambda: stale_speeds.extend(fleet.hosts[0].stale_speeds(fleet.fakes)),
    )
    return len(stale_speeds) / (10_000.0 / TICK_MS * UPSTREAMS)


def test_change_prediction_halves_the_time_of_stale_speeds(fleet, clock):
    regular = Fleet(clock, cfg=ProbeSettings(fast_probes=0))
    assert stale_share(fleet) < stale_share(regular) / 2


def test_upstreams_of_a_dead_host_are_reassigned(fleet):
    fleet.run(500.0)
    dead = fleet.hosts.pop(0)
    del fleet.network.buses[dead.bus.host_id]
    fleet.fakes.probed.clear()
    fleet.run(500.0)
    assert len(fleet.fakes.probed) == UPSTREAMS


def test_answer_of_another_instance_is_ignored(fleet):
    fleet.fakes.wrong_instances = {"u1"}
    fleet.run(500.0)
    for host in fleet.hosts:
        assert host.tables.services["desk"].upstreams["u1"].load.load is None


def test_silent_upstream_does_not_stop_probing(fleet):
    fleet.fakes.silent = {"u1"}
    fleet.run(500.0)
    assert fleet.fakes.probed["u1"] > 1
    assert len(fleet.fakes.probed) == UPSTREAMS


def test_phase_of_a_removed_upstream_is_forgotten(fleet, clock):
    fleet.run(6_000.0)
    host = fleet.hosts[0]
    row = host.tables.services["desk"].upstreams["u1"]
    assert host.estimator.next_change_ms(row, clock.now_ms()) is not None
    host.tables.apply(make_service(removed={"u1"}), revision=2)
    fleet.run(TICK_MS)
    assert host.estimator.next_change_ms(row, clock.now_ms()) is None
    assert host.estimator.change_periods.known


def test_phases_of_a_removed_service_are_forgotten(fleet, clock):
    fleet.run(6_000.0)
    host = fleet.hosts[0]
    rows = list(host.tables.upstreams())
    host.tables.remove("desk", revision=2)
    fleet.run(TICK_MS)
    now_ms = clock.now_ms()
    assert all(host.estimator.next_change_ms(row, now_ms) is None for row in rows)
