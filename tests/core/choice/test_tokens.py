"""Tests of routing by slot leases, with hosts that exchange messages."""

import random

from bench.virtual.bus import Fleet
from bench.virtual.loop import EventLoop, LoopTimers
from mangohatch.config import MeasuringBudget, ServiceSpec
from mangohatch.core.call import Call, Grant, Refusal, Report, Result
from mangohatch.core.choice.tokens import TokenChooser
from mangohatch.core.health import NoHealth
from mangohatch.core.router import Router
from mangohatch.core.tables import Tables
from mangohatch.peer.messages.slots import SlotGrant, SlotRequest
from tests.fixtures import make_service
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

SERVICE = "tablero-misa"
SETTLED_MS = 100.0
TICK_MS = 10.0


class Hosts:
    """Hosts on one event loop, with their decisions by request id."""

    def __init__(self, *, count=3, upstreams=3, **spec):
        self.loop = EventLoop()
        self.fleet = Fleet(loop=self.loop)
        self.decisions = {}
        self.times = {}
        self.routers = {}
        self.choosers = {}
        base = make_service(upstreams=upstreams)
        self.spec = base.model_copy(update=spec)
        buses = [self.fleet.join(f"h{index}", "puno") for index in range(count)]
        for bus in buses:
            self.add(bus)
        self.run(SETTLED_MS)

    def add(self, bus):
        tables = Tables()
        tables.apply(self.spec, revision=1)
        rng = random.Random(bus.host_id)
        timers = LoopTimers(loop=self.loop)
        parts = dict(clock=self.loop.clock, rng=rng, tables=tables)
        chooser = TokenChooser(bus=bus, timers=timers, health=NoHealth(), **parts)
        router = Router(chooser=chooser, timers=timers, **parts)
        self.choosers[bus.host_id] = chooser
        self.routers[bus.host_id] = router
        self.tick(bus.host_id)

    def tick(self, host):
        if host in self.fleet.buses:
            self.routers[host].tick()
            self.loop.after(TICK_MS, self.tick, host)

    def run(self, span_ms):
        self.loop.run(self.loop.clock.now_ms() + span_ms)

    def request(self, host, name, *, deadline_after_ms=1000.0, **options):
        now_ms = self.loop.clock.now_ms()
        call = Call(
            request_id=name,
            service=SERVICE,
            arrived_ms=now_ms,
            deadline_ms=now_ms + deadline_after_ms,
            idempotent=True,
            **options,
        )
        self.routers[host].request(call, self.take)
        return call

    def take(self, decision):
        name = decision.call.request_id
        assert name not in self.decisions, f"{name} was decided twice"
        self.decisions[name] = decision
        self.times[name] = self.loop.clock.now_ms() - decision.call.arrived_ms

    def release(self, host, name, result=Result.OK):
        report = Report(result=result, latency_ms=5.0)
        self.routers[host].release(self.decisions[name], report)

    @property
    def broker(self):
        return self.choosers["h0"]._shards.broker(SERVICE)

    @property
    def other(self):
        return next(name for name in self.routers if name != self.broker)

    def requests_by_upstream(self):
        """Count the requests in flight on each upstream, over all hosts."""
        counts = {}
        for chooser in self.choosers.values():
            for row in chooser._tables.services[SERVICE].upstreams.values():
                counts[row.name] = counts.get(row.name, 0) + row.in_flight
        return counts


@fixture
def hosts():
    return Hosts()


def test_hosts_share_the_slots_exactly(hosts):
    for number in range(6):
        hosts.request(f"h{number % 3}", f"r{number}")
        hosts.run(5.0)
    hosts.run(5.0)
    assert len(hosts.decisions) == 6
    assert hosts.requests_by_upstream() == {"u1": 2, "u2": 2, "u3": 2}


def test_call_beyond_the_slots_waits_for_a_release(hosts):
    for number in range(6):
        hosts.request(hosts.other, f"r{number}")
    hosts.run(5.0)
    hosts.request(hosts.broker, "late")
    hosts.run(1.0)
    assert "late" not in hosts.decisions
    hosts.release(hosts.other, "r3")
    hosts.run(2.0)
    assert isinstance(hosts.decisions["late"], Grant)
    assert max(hosts.requests_by_upstream().values()) == 2


def test_call_that_finds_no_slot_is_refused_in_time(hosts):
    for number in range(6):
        hosts.request(hosts.other, f"r{number}")
    hosts.run(5.0)
    hosts.request(hosts.broker, "late")
    hosts.run(40.0)
    refusal = hosts.decisions["late"]
    assert isinstance(refusal, Refusal)
    assert (refusal.error.code, refusal.error.outcome) == ("overloaded", "not_run")
    assert refusal.error.retry_after_ms > 0
    assert hosts.times["late"] <= 20.0


def test_idle_lease_is_used_again_without_a_message(hosts):
    hosts.request(hosts.other, "first")
    hosts.run(5.0)
    hosts.release(hosts.other, "first")
    calls = hosts.choosers[hosts.other].counters[SERVICE].calls
    hosts.request(hosts.other, "second")
    assert hosts.times["second"] == 0.0
    assert hosts.choosers[hosts.other].counters[SERVICE].calls == calls


def test_idle_lease_goes_back_after_its_linger_time(hosts):
    hosts.request(hosts.other, "first")
    hosts.run(5.0)
    hosts.release(hosts.other, "first")
    hosts.run(150.0)
    assert hosts.choosers[hosts.broker].brokers[SERVICE].ledger.leases == {}


def test_cancelled_call_is_never_decided(hosts):
    for number in range(6):
        hosts.request(hosts.other, f"r{number}")
    hosts.run(5.0)
    call = hosts.request(hosts.other, "gone")
    hosts.routers[hosts.other].cancel(call)
    hosts.release(hosts.other, "r0")
    hosts.run(50.0)
    assert "gone" not in hosts.decisions


def test_call_is_placed_without_a_lease_while_the_broker_is_silent(hosts):
    broker = hosts.fleet.buses[hosts.broker]
    broker._handlers.pop(SlotRequest)
    hosts.request(hosts.other, "unleased")
    hosts.run(6.0)
    grant = hosts.decisions["unleased"]
    assert isinstance(grant, Grant) and grant.token == 0


def test_calls_are_placed_without_leases_when_the_budget_is_exhausted():
    no_budget = MeasuringBudget(
        calls_per_second=0.0, bytes_per_second=0.0, calls_per_request=0.0
    )
    hosts = Hosts(measuring=no_budget)
    for number in range(4):
        hosts.request(hosts.other, f"r{number}")
        hosts.run(2.0)
    assert all(isinstance(item, Grant) for item in hosts.decisions.values())
    assert len(hosts.decisions) == 4
    assert hosts.choosers[hosts.other].counters[SERVICE].calls == 0


def test_new_broker_adopts_the_leases_of_a_dead_one(hosts):
    old = hosts.broker
    holder = hosts.other
    for number in range(4):
        hosts.request(holder, f"r{number}")
    hosts.run(5.0)
    hosts.fleet.leave(old)
    hosts.run(40.0)
    survivors = [name for name in hosts.routers if name != old]
    new = hosts.choosers[holder]._shards.broker(SERVICE)
    requester = next(name for name in survivors if name != holder)
    for number in range(2):
        hosts.request(requester, f"s{number}")
    hosts.run(40.0)
    assert new != old
    assert max(hosts.requests_by_upstream().values()) == 2
    assert sum(hosts.requests_by_upstream().values()) == 6


def test_leases_of_a_dead_holder_are_granted_again(hosts):
    holder = hosts.other
    for number in range(6):
        hosts.request(holder, f"r{number}")
    hosts.run(5.0)
    hosts.fleet.leave(holder)
    hosts.run(1100.0)
    survivor = hosts.broker
    hosts.request(survivor, "after")
    hosts.run(5.0)
    assert isinstance(hosts.decisions["after"], Grant)


def test_lost_grant_delays_no_later_call(hosts):
    bus = hosts.fleet.buses[hosts.other]
    handler = bus._handlers.pop(SlotGrant)
    hosts.request(hosts.other, "lost")
    hosts.run(2.0)
    bus._handlers[SlotGrant] = handler
    hosts.run(100.0)
    hosts.request(hosts.other, "later")
    hosts.run(10.0)
    assert isinstance(hosts.decisions["later"], Grant)


def test_isolated_call_shares_its_upstream_with_no_other(hosts):
    for number in range(6):
        hosts.request(hosts.other, f"r{number}")
    hosts.run(5.0)
    hosts.request(hosts.broker, "suspect", isolated=True)
    hosts.run(20.0)
    assert "suspect" not in hosts.decisions
    for number in range(6):
        hosts.release(hosts.other, f"r{number}")
        hosts.run(2.0)
    grant = hosts.decisions["suspect"]
    name = grant.upstream.name
    assert hosts.requests_by_upstream()[name] == 1
    for number in range(6):
        hosts.request(hosts.other, f"s{number}")
    hosts.run(10.0)
    assert hosts.requests_by_upstream()[name] == 1


def test_recalled_idle_lease_serves_another_host(hosts):
    for number in range(6):
        hosts.request(hosts.other, f"r{number}")
    hosts.run(5.0)
    for number in range(6):
        hosts.release(hosts.other, f"r{number}")
    hosts.request(hosts.broker, "wanted")
    hosts.run(6.0)
    assert isinstance(hosts.decisions["wanted"], Grant)


def test_call_without_an_open_upstream_is_refused_at_once(hosts):
    names = frozenset({"u1", "u2", "u3"})
    hosts.request(hosts.other, "nowhere", avoid=names)
    refusal = hosts.decisions["nowhere"]
    assert refusal.error.code == "no_upstream"
    assert refusal.error.outcome == "not_run"


def test_hosts_of_a_large_service_reach_all_of_its_upstreams():
    hosts = Hosts(count=6, upstreams=130)
    for number in range(260):
        hosts.request(f"h{number % 6}", f"r{number}")
    hosts.run(10.0)
    assert len(hosts.decisions) == 260
    assert set(hosts.requests_by_upstream().values()) == {2}


def test_isolated_call_requests_a_lease_when_the_budget_is_exhausted():
    no_budget = MeasuringBudget(
        calls_per_second=0.0, bytes_per_second=0.0, calls_per_request=0.0
    )
    hosts = Hosts(measuring=no_budget)
    hosts.request(hosts.other, "suspect", isolated=True)
    hosts.run(300.0)
    grant = hosts.decisions["suspect"]
    assert isinstance(grant, Grant) and grant.token
    counter = hosts.choosers[hosts.other].counters[SERVICE]
    assert counter.calls == 1


def test_call_waits_for_seconds_where_the_service_allows_it(hosts):
    spec = make_service().model_copy(update={"max_queue_wait_ms": 4_000.0})
    spec = ServiceSpec.model_validate(spec.model_dump())
    hosts = Hosts(max_queue_wait_ms=spec.max_queue_wait_ms)
    for number in range(6):
        hosts.request(hosts.other, f"r{number}", deadline_after_ms=10_000.0)
    hosts.run(5.0)
    # One of six downloads that take several seconds ends while the last call waits.
    hosts.request(hosts.broker, "late", deadline_after_ms=10_000.0)
    hosts.run(2_500.0)
    assert "late" not in hosts.decisions
    hosts.release(hosts.other, "r3")
    hosts.run(50.0)
    assert isinstance(hosts.decisions["late"], Grant)
