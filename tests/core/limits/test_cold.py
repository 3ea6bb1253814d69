"""Tests of cold states and of the permits for cold upstreams."""

import math

from mangohatch.core.choice.cold import prefer_warm
from mangohatch.core.limits import ColdBounds, ColdStates, LimitOwnership
from mangohatch.core.limits.cold import TAKEOVER_MS, UNKNOWN_MS
from mangohatch.core.limits.held import HeldPermits
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import Tables
from mangohatch.core.timers import NoTimers
from mangohatch.peer.messages.load import LoadReport, LoadSample
from mangohatch.probing import LoadReports
from tests.core.limits.cold_service import BOUNDS, SERVICE, make_cold_service
from tests.functions import fixture, function_tests
from tests.network import ManualPeerBus

load_tests = function_tests(__name__)

HOUR_MS = 3_600_000.0


class Host:
    """The cold states of one host with one upstream."""

    def __init__(self, clock, network, bounds=BOUNDS):
        self.clock = clock
        self.revision = 0
        self.tables = Tables()
        self.bus = ManualPeerBus(network=network, name="h1")
        members = self.bus.members()
        self.bus.members = lambda: members
        self.subset = SubsetTable(host_id="h1")
        self.subset.set_upstreams(SERVICE, ["u1"])
        self.states = ColdStates(
            clock=clock,
            tables=self.tables,
            subset=self.subset,
            ownership=LimitOwnership(clock=clock, bus=self.bus),
            bounds=bounds,
        )
        self.apply()

    def apply(self, **fields):
        self.revision += 1
        self.tables.apply(make_cold_service(**fields), revision=self.revision)
        self.row = self.tables.services[SERVICE].upstreams["u1"]
        self.states.tick()

    def state(self, cold_ms, age_ms=0.0):
        seen_ms = self.clock.now_ms() - age_ms
        self.states.observe(self.row, cold_ms, seen_ms=seen_ms)

    def run(self, span_ms):
        for _ in range(int(span_ms / 50.0)):
            self.clock.advance(50.0)
            self.states.tick()


@fixture
def host(clock, network):
    clock.advance(10_000.0)
    return Host(clock, network)


def test_upstream_of_an_unknown_state_is_cold_for_a_limited_time(host):
    assert host.states.remaining_ms(host.row) is None
    assert host.row.limited
    assert host.row.limit_per_s == 6.3
    host.run(UNKNOWN_MS - 50.0)
    assert host.row.cold.cold
    host.run(50.0)
    assert not host.row.limited
    assert host.states.remaining_ms(host.row) is None


def test_statement_ends_the_unknown_state(host):
    host.state(0.0)
    assert not host.row.limited
    assert (host.states.colds, host.states.warms) == (0, 0)


def test_cold_state_begins_and_ends_and_is_counted(host):
    host.state(0.0)
    host.run(100.0)
    host.state(3_000.0)
    assert host.row.cold.cold
    host.run(2_950.0)
    assert host.row.cold.cold
    host.run(50.0)
    assert not host.row.cold.cold
    assert (host.states.colds, host.states.warms) == (1, 1)


def test_newer_statement_takes_precedence(host):
    host.state(3_000.0)
    host.state(0.0, age_ms=200.0)
    assert host.row.cold.cold
    host.run(50.0)
    host.state(0.0)
    assert not host.row.cold.cold
    host.state(3_000.0, age_ms=20.0)
    assert not host.row.cold.cold


def test_entry_may_name_another_cold_state_of_the_same_process(host):
    host.state(0.0)
    row = host.row
    host.run(100.0)
    host.apply(warm_at_ms=host.clock.now_ms() + 2_000.0)
    assert host.row is row
    assert row.cold.cold
    host.run(2_000.0)
    assert not row.cold.cold


def test_wrong_value_is_cut_and_only_another_end_renews_it(host):
    """A value of an hour must not cost the upstream for an hour."""
    for _ in range(60):
        host.state(HOUR_MS - host.clock.now_ms())
        host.run(200.0)
    assert not host.row.cold.cold
    host.state(HOUR_MS)
    assert host.row.cold.cold


def test_lower_limit_holds(host):
    host.state(3_000.0)
    host.row.limit.observe(2.0, seen_ms=host.clock.now_ms())
    assert host.row.limit_per_s == 2.0
    host.row.limit.observe(50.0, seen_ms=host.clock.now_ms() + 1.0)
    assert host.row.limit_per_s == 6.3


def test_service_without_a_rate_has_no_cold_upstreams(host):
    host.apply(warm_up=None)
    assert not host.row.limited
    host.state(3_000.0)
    assert not host.row.limited
    assert host.states.remaining_ms(host.row) is None


def test_pause_makes_states_unknown_and_reports_of_the_pause_void(host):
    """Reports that waited in the socket look as fresh as when they were sent."""
    host.state(0.0)
    host.clock.advance(3_000.0)
    host.state(0.0, age_ms=3.0)
    assert host.row.cold.cold
    host.run(300.0)
    host.state(0.0)
    assert not host.row.cold.cold


def test_pause_does_not_shorten_a_cold_state(host):
    host.state(4_000.0)
    host.clock.advance(600.0)
    host.run(150.0)
    host.state(3_250.0)
    host.run(3_200.0)
    assert host.row.cold.cold


def test_entry_that_changed_during_a_pause_is_read(host):
    host.state(0.0)
    host.clock.advance(600.0)
    host.apply(warm_at_ms=host.clock.now_ms() + 5_000.0)
    host.run(3_000.0)
    assert host.row.cold.cold


def test_new_owner_gives_out_nothing_at_first(host):
    assert host.states.per_s(host.row) == 0.0
    host.run(TAKEOVER_MS)
    assert host.states.per_s(host.row) == 6.3


def test_upstream_that_has_just_registered_need_not_wait(host):
    """A second of three cold ones would be lost, although no other host owned it."""
    host.run(TAKEOVER_MS)
    del host.tables.services[SERVICE]
    host.states.tick()
    host.apply()
    assert host.states.per_s(host.row) == 6.3


def test_rate_stays_below_narrow_bounds(clock, network):
    narrow = Host(clock, network, ColdBounds(over=1.0, slack=0.0))
    narrow.run(TAKEOVER_MS)
    per_s = narrow.states.per_s(narrow.row)
    assert 0.0 < per_s * 1.15 + 1.0 <= 6.3


def test_permit_answers_one_request_once_and_in_time(host):
    held = HeldPermits(row=host.row)
    held.ask(7, 0.0)
    assert held.is_late(6, 1.0)
    assert not held.is_late(7, 1.0)
    assert held.is_late(7, 2.0)
    assert held.is_late(None, 2.0)
    held.ask(8, 3.0)
    assert held.is_late(8, 300.0)


def test_expired_permit_is_not_revived_by_a_new_one(host):
    held = HeldPermits(row=host.row)
    held.add(1, until_ms=100.0, now_ms=0.0)
    held.add(1, until_ms=900.0, now_ms=800.0)
    assert held.count == 1


def test_permit_of_a_named_limit_does_not_serve_a_cold_upstream(host):
    host.state(0.0)
    held = HeldPermits(row=host.row)
    held.add(1, until_ms=math.inf, now_ms=0.0)
    host.run(50.0)
    host.state(3_000.0)
    assert not held.is_usable(0.0)


def test_load_report_tells_peers_of_a_cold_state(host):
    reports = LoadReports(
        clock=host.clock,
        tables=host.tables,
        subset=host.subset,
        bus=host.bus,
        timers=NoTimers(),
        estimator=None,
        on_load=None,
        signs=None,
        cold=host.states,
    )
    sample = LoadSample(upstream="u1", cold_ms=2_500, cold_age_ms=40)
    reports._observe_cold(host.row, sample)
    assert host.row.cold.cold
    assert host.states.remaining_ms(host.row) == 2_500
    old = LoadReport(service_name=SERVICE, samples=[LoadSample(upstream="u1")])
    reports._observe_cold(host.row, old.samples[0])
    assert host.row.cold.cold


def test_warm_upstreams_come_first_unless_all_free_ones_are_slow(host):
    cold = host.row
    host.state(3_000.0)
    warm = Tables()
    warm.apply(make_cold_service(warm_up=None), revision=1)
    row = warm.services[SERVICE].upstreams["u1"]
    assert prefer_warm([(50.0, cold), (90.0, row)], 200.0) == [(90.0, row)]
    assert len(prefer_warm([(50.0, cold), (400.0, row)], 200.0)) == 2
    assert prefer_warm([(50.0, cold)], 200.0) == [(50.0, cold)]
