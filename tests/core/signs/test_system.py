"""Tests of the signs by which upstreams end or pause new work, over several hosts."""

import random

from mangohatch.core.call import Call, Grant, Refusal
from mangohatch.core.choice.expected import ExpectedTimeChooser
from mangohatch.core.health import OutlierHealth
from mangohatch.core.load import UpstreamLoad
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.router import Router
from mangohatch.core.signs import SignSettings, SignSystem
from mangohatch.core.spec import DiscoveredService, DiscoveredUpstream
from mangohatch.core.statement import UpstreamStatement
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import DrainCause, Tables, UpstreamState
from mangohatch.peer.messages.signs import LeavingNotice, PauseNotice
from tests.core.limits.test_permits import StepTimers
from tests.functions import fixture, function_tests
from tests.network import ManualPeerBus

load_tests = function_tests(__name__)

SERVICE = "desk"
STEP_MS = 5.0
IDLE = UpstreamLoad(running=0, waiting=0, slots=2)
LEAVES = UpstreamStatement(leaving=True)
ACCEPTS = UpstreamStatement()
REFUSES = UpstreamStatement(accepted=False)


def pause(ms):
    return UpstreamStatement(pause_ms=ms, accepted=False)


def make_desk(started=(1.0, 1.0, 1.0), *, draining=False):
    upstreams = tuple(
        DiscoveredUpstream(
            name=f"u{number}",
            address="10.0.0.1",
            port=8_000 + number,
            zone="puno",
            slots=2,
            connections=10,
            started_ms=started_ms,
            draining=draining,
        )
        for number, started_ms in enumerate(started, start=1)
    )
    return DiscoveredService(
        name=SERVICE, max_queue_wait_ms=5_000.0, health_path="/", upstreams=upstreams
    )


class Host:
    def __init__(self, network, clock, name, **settings):
        self.clock = clock
        self.network = network
        self.tables = Tables()
        self.revision = 0
        self.apply(make_desk())
        self.subset = SubsetTable(host_id=name)
        self.subset.set_upstreams(SERVICE, ["u1", "u2", "u3"])
        self.bus = ManualPeerBus(network=network, name=name)
        self.timers = StepTimers(clock)
        self.signs = SignSystem(
            clock=clock,
            rng=random.Random(name),
            tables=self.tables,
            subset=self.subset,
            bus=self.bus,
            timers=self.timers,
            cfg=SignSettings(**settings),
        )
        self.health = OutlierHealth(clock=clock, rng=random.Random(name))
        self.router = Router(
            clock=clock,
            rng=random.Random(name),
            tables=self.tables,
            health=self.health,
            chooser=ExpectedTimeChooser(
                clock=clock,
                rng=random.Random(name),
                health=self.health,
                timers=self.timers,
                estimator=LoadEstimator(clock=clock),
                zone="puno",
            ),
            timers=self.timers,
            signs=self.signs,
        )
        self.signs.on_change = self.router.serve_soon
        self.calls = []
        self.loads = {}

    def apply(self, spec):
        self.revision += 1
        self.tables.apply(spec, revision=self.revision)

    def row(self, name="u1"):
        return self.tables.services[SERVICE].upstreams[name]

    def observe(self, statement, *names):
        for name in names or ("u1",):
            self.router.observe(self.row(name), statement)

    def report(self, name="u1", *, leaving=False, healthy=True):
        self.signs.observe_report(
            self.row(name),
            leaving=leaving,
            healthy=healthy,
            measured_ms=self.clock.now_ms(),
        )

    def ask(self, deadline_ms=1_000.0):
        now_ms = self.clock.now_ms()
        for row in self.tables.upstreams():
            row.load.observe(self.loads.get(row.name, IDLE), measured_ms=now_ms)
        call = Call(
            request_id=f"r{len(self.calls)}",
            service=SERVICE,
            arrived_ms=now_ms,
            deadline_ms=now_ms + deadline_ms,
            objective_ms=now_ms + 300.0,
            idempotent=True,
        )
        answers = []
        self.calls.append(call)
        self.router.request(call, answers.append)
        return answers

    def used(self, count=4):
        """Return the upstreams of some requests that run at the same time."""
        answers = [answer for _ in range(count) for answer in self.ask()]
        grants = [item for item in answers if isinstance(item, Grant)]
        for call in self.calls:
            self.router.cancel(call)
        for grant in grants:
            grant.upstream.in_flight -= 1
            grant.upstream.load.end(grant.granted_ms, self.clock.now_ms())
        return {grant.upstream.name for grant in grants}

    def pass_time(self, ms):
        for _ in range(round(ms / STEP_MS)):
            self.clock.advance(STEP_MS)
            self.timers.run()
            self.network.deliver()
            self.router.tick()


@fixture
def host(network, clock):
    return Host(network, clock, "h1")


@fixture
def peer(network, clock):
    return Host(network, clock, "h2")


def test_upstream_that_leaves_gets_no_request(host):
    host.observe(LEAVES)
    assert host.used() == {"u2", "u3"}


def test_peers_are_told_at_once_that_an_upstream_leaves(host, peer):
    for item in (host, peer):
        item.subset.set_members(item.bus.members())
    host.observe(LEAVES)
    host.pass_time(STEP_MS)
    assert peer.used() == {"u2", "u3"}
    assert peer.row().signs.origin == "h1"


def test_lost_notice_that_an_upstream_leaves_is_repeated(host, peer, network):
    for item in (host, peer):
        item.subset.set_members(item.bus.members())
    network.disconnected_hosts.add("h2")
    host.observe(LEAVES)
    host.pass_time(100.0)
    network.disconnected_hosts.clear()
    host.pass_time(300.0)
    assert peer.used() == {"u2", "u3"}


def test_sign_outlives_a_lapsed_entry(host):
    host.observe(LEAVES)
    host.apply(make_desk(started=()))
    host.apply(make_desk())
    assert host.used() == {"u2", "u3"}


def test_sign_holds_while_the_directory_lists_the_upstream_as_active(host):
    host.observe(LEAVES)
    host.apply(make_desk(draining=True))
    host.apply(make_desk())
    assert host.row().state is UpstreamState.DRAINING


def test_new_process_of_the_same_name_gets_requests_at_once(host):
    old = host.row()
    host.observe(LEAVES)
    host.apply(make_desk(started=(2.0, 1.0, 1.0)))
    assert "u1" in host.used(6)
    host.router.observe(old, LEAVES)  # a late response of the old process
    assert "u1" in host.used(6)


def test_notice_about_another_process_is_ignored(host):
    for kind in (LeavingNotice, PauseNotice):
        check_notices(host, kind)


def check_notices(host, kind):
    for fields in (
        {"upstream": "u9"},
        {"service_name": "other"},
        {"started_ms": 7.0},
        {"port": 9},
        {"address": "10.0.0.9"},
    ):
        row = host.row()
        values = dict(
            service_name=SERVICE,
            upstream=row.name,
            address=row.address,
            port=row.port,
            started_ms=row.started_ms,
        )
        if kind is PauseNotice:
            values["rest_ms"] = 1_000
        host.bus.handlers[kind]("h2", kind(**(values | fields)))
        assert host.row().signs.allows(host.clock.now_ms(), 0), fields


def test_false_sign_ends_when_reports_lack_it(host):
    host.observe(LEAVES)
    for _ in range(14):
        host.pass_time(200.0)
        host.report()
        assert host.row().signs.leaving
    host.pass_time(200.0)
    host.report(healthy=False)
    assert host.row().signs.leaving
    host.report()
    assert "u1" in host.used(6)


def test_sign_lasts_as_long_as_reports_repeat_it(host):
    host.observe(LEAVES)
    for _ in range(50):
        host.pass_time(200.0)
        host.report(leaving=True)
    assert host.used() == {"u2", "u3"}


def test_report_of_a_peer_starts_no_sign(host):
    host.report(leaving=True)
    assert not host.row().signs.leaving


def test_service_whose_upstreams_all_leave_refuses_at_once(host):
    host.observe(LEAVES, "u1", "u2", "u3")
    (refusal,) = host.ask()
    assert isinstance(refusal, Refusal)
    assert refusal.error.code == "no_upstream"


def test_paused_upstream_gets_no_request_of_this_host_alone(host, peer):
    host.observe(pause(300.0))
    assert host.used() == {"u2", "u3"}
    host.pass_time(290.0)
    assert host.used() == {"u2", "u3"}
    assert "u1" in peer.used(6)


def test_peers_stay_away_from_a_paused_upstream_for_a_short_time(host, peer):
    for item in (host, peer):
        item.subset.set_members(item.bus.members())
    host.observe(pause(5_000.0))
    host.pass_time(STEP_MS)
    assert peer.used() == {"u2", "u3"}
    peer.pass_time(900.0)
    assert peer.used() == {"u2", "u3"}
    peer.pass_time(210.0)
    assert "u1" in peer.used(6)


def test_notices_of_pauses_are_bounded(host, peer, network):
    for item in (host, peer):
        item.subset.set_members(item.bus.members())
    for _ in range(50):
        host.observe(pause(1.0))
    assert len(network.queue) == 1
    assert host.signs.pauses == 1
    host.clock.advance(100.0)
    host.observe(pause(1.0))
    assert len(network.queue) == 2


def test_pauses_of_an_upstream_that_turns_away_single_hosts_are_ignored(host, peer):
    for item in (host, peer):
        item.subset.set_members(item.bus.members())
    host.observe(pause(5_000.0))
    host.pass_time(STEP_MS)
    peer.pass_time(1_150.0)
    peer.observe(ACCEPTS)
    host.observe(pause(5_000.0))
    host.pass_time(STEP_MS)
    assert "u1" in peer.used(6)
    peer.observe(pause(300.0))
    assert peer.used() == {"u2", "u3"}


def test_pause_ends_within_its_spread(host):
    host.observe(pause(300.0))
    host.pass_time(335.0)
    assert "u1" in host.used(6)


def test_one_request_at_a_time_after_a_pause_until_one_is_accepted(host):
    host.observe(pause(300.0), "u1", "u2", "u3")
    host.pass_time(335.0)
    grants = [answer for _ in range(9) for answer in host.ask()]
    assert sorted(grant.upstream.name for grant in grants) == ["u1", "u2", "u3"]
    host.observe(REFUSES)
    assert host.row("u1").signs.on_trial
    host.observe(ACCEPTS)
    assert not host.row("u1").signs.on_trial


def test_response_to_an_earlier_request_ends_no_pause(host):
    host.observe(pause(300.0))
    host.observe(ACCEPTS)
    assert host.used() == {"u2", "u3"}
    assert host.row().signs.on_trial


def test_shorter_pause_does_not_end_a_longer_one(host):
    host.observe(pause(2_000.0))
    host.observe(pause(100.0))
    host.pass_time(1_900.0)
    assert host.used() == {"u2", "u3"}


def test_pause_beyond_the_bound_is_cut(network, clock):
    host = Host(network, clock, "h1", max_pause_ms=1_000.0)
    host.observe(pause(86_400_000.0))
    host.pass_time(1_150.0)
    assert "u1" in host.used(6)


def test_calls_wait_for_the_end_of_a_pause_that_comes_in_time(host):
    host.observe(pause(300.0), "u1", "u2", "u3")
    answers = host.ask()
    assert not answers
    host.pass_time(340.0)
    assert isinstance(answers[0], Grant)


def test_call_is_refused_at_once_with_the_end_of_the_earliest_pause(host):
    host.observe(pause(3_000.0), "u1", "u2")
    host.observe(pause(2_000.0), "u3")
    (refusal,) = host.ask()
    assert isinstance(refusal, Refusal)
    assert refusal.error.code == "overloaded"
    assert 2_000.0 <= refusal.error.retry_after_ms <= 2_200.0


def test_waiting_call_is_refused_once_no_pause_ends_in_time(host):
    host.observe(pause(300.0), "u1", "u2", "u3")
    answers = host.ask()
    host.pass_time(100.0)
    host.observe(pause(3_000.0), "u1", "u2", "u3")
    host.pass_time(50.0)
    assert isinstance(answers[0], Refusal)


def test_leaving_goes_before_the_end_of_a_pause(host):
    host.observe(pause(300.0))
    host.observe(LEAVES)
    host.pass_time(400.0)
    assert host.used() == {"u2", "u3"}


def test_order_to_drain_outlasts_a_sign(host):
    host.row().start_drain(DrainCause.ORDER)
    host.observe(LEAVES)
    host.pass_time(3_100.0)
    host.report()
    assert not host.row().signs.leaving
    assert host.row().state is UpstreamState.DRAINING


def test_pause_holds_although_most_upstreams_are_ejected(host):
    for name in ("u2", "u3"):
        host.health._eject(host.health._find(host.row(name)), "test")
    assert host.health.is_panicking(SERVICE)
    host.observe(pause(300.0))
    assert host.used() == {"u2", "u3"}


def test_pause_goes_before_a_free_permit_and_a_slow_start(host):
    row = host.row()
    row.limit.observe(100.0, seen_ms=0.0)
    host.health.start_ramp(row)
    host.observe(pause(300.0))
    assert host.used() == {"u2", "u3"}


def test_full_upstream_gets_no_trial(host):
    host.observe(pause(300.0))
    host.pass_time(335.0)
    host.loads["u1"] = UpstreamLoad(running=2, waiting=0, slots=2)
    assert host.used() == {"u2", "u3"}


def test_placement_names_the_upstreams_that_it_passed_over(host):
    host.observe(LEAVES, "u1")
    host.observe(pause(1_000.0), "u2")
    host.pass_time(100.0)
    (grant,) = host.ask()
    leaves, pauses = grant.basis.withheld
    assert leaves == "u1 leaves, known for 100 ms"
    assert pauses.startswith("u2 pauses for 9")


def test_signs_of_processes_that_are_gone_are_forgotten(host):
    host.observe(LEAVES)
    host.apply(make_desk(started=()))
    host.clock.advance(1_000_000.0)
    host.signs.tick()
    assert not host.tables.signs
