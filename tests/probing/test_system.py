"""Tests of measuring each upstream once for all hosts."""

import random
from collections import Counter

from mangohatch.core.load import UpstreamLoad
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.spec import DiscoveredService, DiscoveredUpstream
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
from tests.network import Bus, Network

load_tests = function_tests(__name__)

HOSTS = 5
UPSTREAMS = 10
TICK_MS = 10.0
PERIOD_MS = 300.0


def make_service(upstreams=UPSTREAMS, *, gone=()):
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
            if f"u{number}" not in gone
        ),
    )


class World:
    """The true speeds: each upstream is redrawn at its own phase."""

    def __init__(self, clock):
        self.clock = clock
        self.rng = random.Random(3)
        self.phases = {f"u{n}": self.rng.uniform(0, PERIOD_MS) for n in range(50)}
        self.drawn = {}
        self.silent = set()
        self.impostors = set()
        self.asked = Counter()

    def slowdown(self, name):
        epoch = int((self.clock.now_ms() - self.phases[name]) // PERIOD_MS)
        key = (name, epoch)
        if key not in self.drawn:
            self.drawn[key] = 4.0 if self.rng.random() < 0.25 else 1.0
        return self.drawn[key]


class WorldProbe(LoadProbe):
    def __init__(self, world):
        self.world = world

    def send(self, row, path, done):
        self.world.asked[row.name] += 1
        now_ms = self.world.clock.now_ms()
        if row.name in self.world.silent:
            done(ProbeResult(load=None, measured_ms=now_ms))
            return
        slowdown = self.world.slowdown(row.name)
        load = UpstreamLoad(running=0, waiting=0, slots=2, slowdown=slowdown)
        name = "other" if row.name in self.world.impostors else row.name
        done(ProbeResult(load=load, measured_ms=now_ms, instance=name))

    def retain(self, rows):
        return None


class TickTimers(Timers):
    """Timers that a test runs as its clock goes on."""

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
    def __init__(self, network, world, name, cfg, upstreams):
        self.clock = world.clock
        self.tables = Tables()
        self.tables.apply(make_service(upstreams), revision=1)
        self.estimator = LoadEstimator(clock=self.clock)
        self.bus = Bus(network=network, name=name)
        self.heard = Counter()
        self.timers = TickTimers(self.clock)
        self.reports = LoadReports(
            clock=self.clock,
            tables=self.tables,
            bus=self.bus,
            timers=self.timers,
            estimator=self.estimator,
            on_load=lambda service: self.heard.update([service]),
        )
        self.system = ProbingSystem(
            clock=self.clock,
            tables=self.tables,
            bus=self.bus,
            probe=WorldProbe(world),
            reports=self.reports,
            timers=self.timers,
            estimator=self.estimator,
            on_load=lambda service: self.heard.update([service]),
            cfg=cfg,
        )

    def wrong(self, world):
        """Upstreams whose speed this host believes to be another than it is."""
        rows = self.tables.services["desk"].upstreams.values()
        return [
            row.name
            for row in rows
            if row.load.load is not None
            and row.load.load.slowdown != world.slowdown(row.name)
        ]


class Fleet:
    def __init__(self, clock, *, cfg=None, upstreams=UPSTREAMS):
        self.clock = clock
        self.world = World(clock)
        self.network = Network()
        names = [f"h{number}" for number in range(HOSTS)]
        self.hosts = [
            Host(self.network, self.world, name, cfg, upstreams) for name in names
        ]

    def run(self, span_ms, *, look=None):
        for _ in range(int(span_ms / TICK_MS)):
            self.clock.advance(TICK_MS)
            for host in self.hosts:
                host.system.tick()
                host.timers.run()
            self.network.deliver()
            if look is not None:
                look()


@fixture
def fleet(clock):
    return Fleet(clock)


def test_each_upstream_is_asked_by_one_host(fleet):
    fleet.run(TICK_MS)
    assert set(fleet.world.asked.values()) == {1}
    assert len(fleet.world.asked) == UPSTREAMS


def test_all_hosts_know_what_one_measured(fleet):
    fleet.run(500.0)
    for host in fleet.hosts:
        rows = host.tables.services["desk"].upstreams.values()
        assert all(row.load.load is not None for row in rows)


def test_questions_stay_within_their_rate_after_learning(fleet):
    fleet.run(5_000.0)
    fleet.world.asked.clear()
    fleet.run(20_000.0)
    per_second = sum(fleet.world.asked.values()) / UPSTREAMS / 20.0
    assert per_second <= 5.0, per_second


def test_questions_of_a_day_stay_within_their_rate_learning_included(clock):
    fleet = Fleet(clock, upstreams=35)
    fleet.run(40_000.0)
    per_second = sum(fleet.world.asked.values()) / 35 / 40.0
    assert per_second <= 5.0, per_second


def share_wrong(fleet):
    """Share of the time for which a host believes in a speed that has passed."""
    fleet.run(6_000.0)
    wrong = []
    fleet.run(10_000.0, look=lambda: wrong.extend(fleet.hosts[0].wrong(fleet.world)))
    return len(wrong) / (10_000.0 / TICK_MS * UPSTREAMS)


def test_rhythm_halves_the_time_of_wrong_beliefs(fleet, clock):
    regular = Fleet(clock, cfg=ProbeSettings(fast_probes=0))
    assert share_wrong(fleet) < share_wrong(regular) / 2


def test_host_that_dies_hands_its_upstreams_on(fleet):
    fleet.run(500.0)
    dead = fleet.hosts.pop(0)
    del fleet.network.buses[dead.bus.host_id]
    fleet.world.asked.clear()
    fleet.run(500.0)
    assert len(fleet.world.asked) == UPSTREAMS


def test_answer_of_another_upstream_is_not_believed(fleet):
    fleet.world.impostors = {"u1"}
    fleet.run(500.0)
    for host in fleet.hosts:
        assert host.tables.services["desk"].upstreams["u1"].load.load is None


def test_silent_upstream_stops_nothing(fleet):
    fleet.world.silent = {"u1"}
    fleet.run(500.0)
    assert fleet.world.asked["u1"] > 1
    assert len(fleet.world.asked) == UPSTREAMS


def test_rhythm_of_an_upstream_that_is_gone_is_forgotten(fleet, clock):
    fleet.run(6_000.0)
    host = fleet.hosts[0]
    row = host.tables.services["desk"].upstreams["u1"]
    assert host.estimator.next_change_ms(row, clock.now_ms()) is not None
    host.tables.apply(make_service(gone={"u1"}), revision=2)
    fleet.run(TICK_MS)
    assert host.estimator.next_change_ms(row, clock.now_ms()) is None
    assert host.estimator.change_periods.known


def test_rhythm_of_a_service_that_is_gone_is_forgotten(fleet, clock):
    fleet.run(6_000.0)
    host = fleet.hosts[0]
    rows = list(host.tables.upstreams())
    host.tables.remove("desk", revision=2)
    fleet.run(TICK_MS)
    now_ms = clock.now_ms()
    assert all(host.estimator.next_change_ms(row, now_ms) is None for row in rows)
