"""Tests of which hosts receive load reports, placements and urgency."""

import math
import random
from collections import Counter

from mangohatch.core.call import Call, Grant
from mangohatch.core.contention import ContentionOrder, ContentionSettings
from mangohatch.core.load import UpstreamLoad
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.signs import SignSystem
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import Tables
from mangohatch.peer.bus import MemberView, PeerBus
from mangohatch.peer.messages.load import LoadReport, PlacementNotes
from mangohatch.probing import LoadReports, PlacementUpdates
from tests.functions import function_tests
from tests.probing.test_placements import make_desk
from tests.probing.test_system import TickTimers

load_tests = function_tests(__name__)

LOAD = UpstreamLoad(running=1, waiting=0, slots=2)
MAX_AUDIENCE = 20


class SentMessages(PeerBus):
    """Keeps the sent messages with their receivers."""

    def __init__(self, members, name):
        self._members = members
        self._name = name
        self.sent = []
        self.handlers = {}

    @property
    def host_id(self):
        return self._name

    def members(self):
        return self._members

    def send(self, host_id, message):
        self.sent.append((host_id, message))
        return True

    def broadcast(self, message):
        for member in self._members:
            if member.host_id != self.host_id:
                self.send(member.host_id, message)

    def subscribe(self, message_type, handler):
        self.handlers[message_type] = handler

    def receivers(self):
        return Counter(host for host, _ in self.sent)


class Sender:
    """A host of a site, with its reports and placements."""

    def __init__(self, clock, *, hosts, upstreams, name="h0"):
        self.clock = clock
        members = [
            MemberView(host_id=f"h{number}", incarnation=1, zone="puno")
            for number in range(hosts)
        ]
        self.bus = SentMessages(members, name)
        desk = make_desk(upstreams)
        self.subset = SubsetTable(host_id=name)
        self.subset.set_members(members)
        self.subset.set_upstreams("desk", [item.name for item in desk.upstreams])
        self.tables = Tables()
        self.tables.apply(desk, revision=1)
        self.rows = self.tables.services["desk"].upstreams
        self.timers = TickTimers(clock)
        self.contention = ContentionOrder(clock=clock, host_id=name, subset=self.subset)
        self.updates = PlacementUpdates(
            clock=clock,
            tables=self.tables,
            subset=self.subset,
            bus=self.bus,
            timers=self.timers,
            contention=self.contention,
        )
        self.urgency = 0.0
        self.updates.urgency = lambda service: self.urgency
        self.reports = LoadReports(
            clock=clock,
            tables=self.tables,
            subset=self.subset,
            bus=self.bus,
            timers=self.timers,
            estimator=LoadEstimator(clock=clock),
            on_load=lambda service: None,
            signs=SignSystem(
                clock=clock,
                rng=random.Random(name),
                tables=self.tables,
                subset=self.subset,
                bus=self.bus,
                timers=self.timers,
            ),
        )

    def report(self, name):
        self.rows[name].load.observe(LOAD, measured_ms=self.clock.now_ms())
        self.reports.add(self.rows[name])

    def place(self, name):
        call = Call(
            request_id="r",
            service="desk",
            arrived_ms=0.0,
            deadline_ms=1_000.0,
            objective_ms=300.0,
            idempotent=True,
        )
        self.updates.on_started(
            Grant(call=call, upstream=self.rows[name], granted_ms=0.0, token=1)
        )

    def run(self, span_ms, *, step_ms=5.0):
        for _ in range(int(span_ms / step_ms)):
            self.clock.advance(step_ms)
            self.timers.run()
            self.timers.run()


def test_placement_goes_to_the_users_of_the_upstream(clock):
    sender = Sender(clock, hosts=136, upstreams=114)
    sender.place("u1")
    sender.run(5.0)
    users = sender.subset.users("desk", "u1") - {"h0"}
    assert sender.bus.receivers() == Counter(users)


def test_report_reaches_the_users_of_the_upstream(clock):
    sender = Sender(clock, hosts=136, upstreams=114)
    sender.report("u1")
    sender.run(10.0)
    users = sender.subset.users("desk", "u1") - {"h0"}
    assert sender.bus.receivers() == Counter(users)


def test_report_of_a_small_service_reaches_all_users_through_relays(clock):
    hosts = 136
    sender = Sender(clock, hosts=hosts, upstreams=9)
    sender.report("u1")
    sender.run(10.0)
    relays = [host for host, _ in sender.bus.sent]
    assert len(relays) <= math.ceil((hosts - 1) / MAX_AUDIENCE)
    reached = Counter(relays)
    for relay, message in sender.bus.sent:
        peer = Sender(clock, hosts=hosts, upstreams=9, name=relay)
        peer.bus.handlers[LoadReport]("h0", message)
        assert not any(copy.relay for _, copy in peer.bus.sent)
        reached.update(peer.bus.receivers())
    assert reached == Counter(f"h{number}" for number in range(1, hosts))


def test_consecutive_reports_use_different_relays(clock):
    sender = Sender(clock, hosts=136, upstreams=9)
    relays = []
    for _ in range(2):
        sender.report("u1")
        sender.run(10.0)
        relays.append(set(sender.bus.receivers()))
        sender.bus.sent.clear()
    assert not relays[0] & relays[1]


def test_loads_with_the_same_users_share_a_message(clock):
    sender = Sender(clock, hosts=17, upstreams=9)
    for name in sender.rows:
        sender.report(name)
    sender.run(10.0)
    assert len(sender.bus.sent) == 16
    assert all(len(message.samples) == 9 for _, message in sender.bus.sent)


def test_urgency_reaches_every_rival_before_it_expires(clock):
    sender = Sender(clock, hosts=136, upstreams=114)
    audiences = sender.subset.audiences("desk")
    sender.urgency = 1.0
    sender.updates.on_waiting("desk")
    sender.run(50.0 * len(audiences) + 5.0)
    assert sender.bus.receivers().keys() == set().union(*audiences)
    ttl_ms = ContentionSettings().demand_ttl_ms * len(audiences)
    assert 50.0 * len(audiences) < ttl_ms


def test_cost_of_waiting_does_not_grow_with_hosts(clock):
    for hosts in (136, 300):
        for upstreams in (9, 114):
            sender = Sender(clock, hosts=hosts, upstreams=upstreams)
            sender.urgency = 1.0
            sender.updates.on_waiting("desk")
            sender.run(1_000.0)
            # One audience every 50 ms, and one more at the start.
            assert len(sender.bus.sent) <= 21 * MAX_AUDIENCE
            assert len(sender.timers.due) <= 2


def test_waiting_host_keeps_one_timer_for_a_service(clock):
    sender = Sender(clock, hosts=17, upstreams=28)
    sender.urgency = 1.0
    for _ in range(30):
        sender.place("u1")
        sender.run(5.0)
    assert len(sender.timers.due) == 1


def test_hosts_that_know_of_an_urgency_are_told_its_end(clock):
    sender = Sender(clock, hosts=136, upstreams=114)
    sender.urgency = 1.0
    sender.updates.on_waiting("desk")
    sender.run(120.0)
    informed = set(sender.bus.receivers())
    sender.bus.sent.clear()
    sender.urgency = 0.0
    sender.run(120.0)
    assert set(sender.bus.receivers()) == informed
    assert all(message.urgency == 0.0 for _, message in sender.bus.sent)


def test_demand_of_a_host_that_does_not_use_the_upstream_reserves_nothing(clock):
    sender = Sender(clock, hosts=136, upstreams=114)
    users = sender.subset.users("desk", "u1")
    other = next(
        host
        for host in sorted(set().union(*sender.subset.audiences("desk")))
        if host not in users
    )
    sender.contention.record_demand("desk", other, 1.0)
    assert sender.contention.delay_ms("desk", "event", 0.0, "u1") == 0.0
    assert not sender.contention.is_contested("desk", "u1")
    sender.contention.record_demand("desk", min(users - {"h0"}), 1.0)
    assert sender.contention.delay_ms("desk", "event", 0.0, "u1") > 0.0
    assert sender.contention.is_contested("desk", "u1")


def test_message_about_an_unused_upstream_is_ignored(clock):
    sender = Sender(clock, hosts=17, upstreams=28)
    notes = PlacementNotes(
        service_name="desk", begun_upstreams=["u99"], begun_tokens=[1]
    )
    sender.bus.handlers[PlacementNotes]("h1", notes)
    sender.bus.handlers[LoadReport]("h1", LoadReport(service_name="desk"))
    assert all(row.load.occupancy() == 0 for row in sender.rows.values())
