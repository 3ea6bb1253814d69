"""Tests of upstreams that report that they are draining."""

from mangohatch.clock import ManualClock
from mangohatch.core.draining import DrainSystem, ReachabilityProbe
from mangohatch.core.tables import DrainCause, Tables, UpstreamState
from mangohatch.timeline import HybridClock, Recorder
from tests.fixtures import make_service
from tests.functions import fixture, function_tests
from tests.network import ManualPeerBus

load_tests = function_tests(__name__)

SERVICE = "tablero-misa"
HOSTS = 15
STEP_MS = 100.0
BOUND_MS = 3_000.0


class FakeProbe(ReachabilityProbe):
    """Reports the result set by the test, without delay."""

    def __init__(self):
        self.accepted = True
        self.calls = 0

    def check(self, address, port, done):
        self.calls += 1
        done(self.accepted)


class Host:
    """The drain system of one host with its tables."""

    def __init__(self, *, network, clock, name, probe):
        self.tables = Tables()
        self.tables.apply(make_service(SERVICE), revision=1)
        self.system = DrainSystem(
            clock=clock,
            tables=self.tables,
            bus=ManualPeerBus(network=network, name=name),
            probe=probe,
            recorder=Recorder(host=name, zone="puno", clock=HybridClock(clock=clock)),
        )

    @property
    def row(self):
        return self.tables.services[SERVICE].upstreams["u1"]


@fixture
def probe():
    return FakeProbe()


@fixture
def hosts(network, clock, probe):
    return [
        Host(network=network, clock=clock, name=f"entry-{n}", probe=probe)
        for n in range(HOSTS)
    ]


def run(hosts, network, clock: ManualClock, *, for_ms):
    until_ms = clock.now_ms() + for_ms
    while clock.now_ms() < until_ms:
        clock.advance(STEP_MS)
        for host in hosts:
            host.system.tick()
        network.deliver()


def states(hosts):
    return {host.row.state for host in hosts}


def test_notice_of_one_host_drains_on_all_within_the_bound(hosts, network, clock):
    hosts[3].system.mark_draining(hosts[3].row, cause="its answer said so")
    run(hosts, network, clock, for_ms=BOUND_MS)
    assert states(hosts) == {UpstreamState.DRAINING}


def test_host_that_missed_the_notice_receives_a_repetition(hosts, network, clock):
    network.disconnected_hosts.add("entry-7")
    hosts[3].system.mark_draining(hosts[3].row, cause="its answer said so")
    network.deliver()
    network.disconnected_hosts.clear()
    run(hosts, network, clock, for_ms=BOUND_MS)
    assert hosts[7].row.state is UpstreamState.DRAINING


def test_upstream_that_still_accepts_stays_draining(hosts, network, clock):
    hosts[0].system.mark_draining(hosts[0].row, cause="its answer said so")
    run(hosts, network, clock, for_ms=60_000.0)
    assert states(hosts) == {UpstreamState.DRAINING}


def test_restarted_upstream_gets_work_again_on_all_hosts(hosts, network, clock, probe):
    hosts[0].system.mark_draining(hosts[0].row, cause="its answer said so")
    run(hosts, network, clock, for_ms=2_000.0)
    probe.accepted = False
    run(hosts, network, clock, for_ms=2_000.0)
    assert states(hosts) == {UpstreamState.DRAINING}
    probe.accepted = True
    run(hosts, network, clock, for_ms=2_000.0)
    assert states(hosts) == {UpstreamState.ACTIVE}


def test_one_host_probes_once_a_second(hosts, network, clock, probe):
    hosts[0].system.mark_draining(hosts[0].row, cause="its answer said so")
    run(hosts, network, clock, for_ms=10_000.0)
    assert 8 <= probe.calls <= 10


def test_change_of_configuration_keeps_the_mark(hosts, clock):
    host = hosts[0]
    host.system.mark_draining(host.row, cause="its answer said so")
    host.tables.apply(make_service(SERVICE), revision=2)
    assert host.row.state is UpstreamState.DRAINING


def test_order_to_drain_outlasts_a_restart(hosts, network, clock, probe):
    hosts[0].system.mark_draining(hosts[0].row, cause="its answer said so")
    for host in hosts:
        host.row.start_drain(DrainCause.ORDER)
    probe.accepted = False
    run(hosts, network, clock, for_ms=2_000.0)
    probe.accepted = True
    run(hosts, network, clock, for_ms=2_000.0)
    assert states(hosts) == {UpstreamState.DRAINING}


def test_upstream_at_a_new_address_is_another_process(hosts, network, clock):
    hosts[0].system.mark_draining(hosts[0].row, cause="its answer said so")
    spec = make_service(SERVICE)
    moved = spec.upstreams[0].model_copy(update={"port": 21_000})
    changed = spec.model_copy(update={"upstreams": (moved, *spec.upstreams[1:])})
    hosts[0].tables.apply(changed, revision=2)
    hosts[0].system.tick()
    assert hosts[0].row.state is UpstreamState.ACTIVE
