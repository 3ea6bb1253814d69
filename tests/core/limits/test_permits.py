"""Tests of permits for upstreams that name a limit, over several hosts."""

import math

from mangohatch.core.limits import PermitTable, TokenBucket
from mangohatch.core.named_limit import NamedLimit
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import Tables
from mangohatch.core.timers import Timers
from tests.fixtures import make_service
from tests.functions import fixture, function_tests
from tests.network import ManualPeerBus

load_tests = function_tests(__name__)

SERVICE = "tablero-misa"
HOSTS = 6
STEP_MS = 5.0


class StepTimers(Timers):
    """Runs delayed calls when the clock has reached their time."""

    def __init__(self, clock):
        self._clock = clock
        self._calls = []

    def call_later(self, delay_ms, function):
        self._calls.append((self._clock.now_ms() + delay_ms, function))

    def run(self):
        due = [item for item in self._calls if item[0] <= self._clock.now_ms()]
        self._calls = [item for item in self._calls if item not in due]
        for _, function in due:
            function()


class Host:
    """A host that sends a request whenever it has a permit and a call waits."""

    def __init__(self, network, clock, name):
        self.clock = clock
        self.tables = Tables()
        self.tables.apply(make_service(SERVICE, upstreams=1), revision=1)
        self.row = self.tables.services[SERVICE].upstreams["u1"]
        self.subset = SubsetTable(host_id=name)
        self.subset.set_upstreams(SERVICE, ["u1"])
        self.timers = StepTimers(clock)
        self.waiting = 0
        self.sent_ms = []
        self.permits = PermitTable(
            clock=clock,
            tables=self.tables,
            subset=self.subset,
            bus=ManualPeerBus(network=network, name=name),
            timers=self.timers,
        )
        self.permits.on_permit = self.serve
        self.permits.count_waiting = lambda service: self.waiting

    def serve(self, service=SERVICE):
        while self.waiting and self.permits.may_send(self.row):
            self.permits.take(self.row)
            self.waiting -= 1
            self.sent_ms.append(self.clock.now_ms())

    def wait(self, count=1):
        self.waiting += count
        self.serve()
        if self.waiting:
            self.permits.request(SERVICE)


class Site:
    """Hosts in virtual time, with one upstream that names a limit."""

    def __init__(self, network, clock, per_s):
        self.network = network
        self.clock = clock
        self.hosts = [Host(network, clock, f"entry-{n}") for n in range(HOSTS)]
        for host in self.hosts:
            host.subset.set_members(host.permits._bus.members())
            host.row.limit.observe(per_s, seen_ms=clock.now_ms())

    def run(self, span_ms):
        for _ in range(int(span_ms / STEP_MS)):
            self.clock.advance(STEP_MS)
            for host in self.hosts:
                host.timers.run()
                host.permits.tick()
            self.network.deliver()

    def count(self, since_ms=0.0):
        return sum(at_ms >= since_ms for host in self.hosts for at_ms in host.sent_ms)

    @property
    def owner(self):
        return next(host for host in self.hosts if host.permits.broker.owns(host.row))


@fixture
def site(network, clock):
    return Site(network, clock, 2.0)


def test_hosts_together_send_what_the_limit_allows(site):
    for host in site.hosts:
        host.wait(100)
    site.run(10_000.0)
    assert 18 <= site.count() <= 22


def test_hosts_with_waiting_calls_get_permits_in_turn(site):
    for host in site.hosts:
        host.wait(100)
    site.run(10_000.0)
    assert all(3 <= len(host.sent_ms) <= 4 for host in site.hosts)


def test_share_of_hosts_without_calls_goes_to_the_others(site):
    busy = next(host for host in site.hosts if host is not site.owner)
    busy.wait(100)
    site.run(10_000.0)
    assert 18 <= len(busy.sent_ms) <= 22, len(busy.sent_ms)


def test_permit_that_no_call_needs_goes_back(site):
    asking = next(host for host in site.hosts if host is not site.owner)
    asking.wait(1)
    asking.waiting = 0
    site.run(1_000.0)
    assert not asking.permits.may_send(asking.row)
    assert site.owner.permits.may_send(site.owner.row)


def test_owner_sends_without_waiting_while_no_host_asks(site):
    site.run(1_000.0)
    site.owner.wait(1)
    assert len(site.owner.sent_ms) == 1


def test_grant_that_arrives_late_is_not_used(site):
    asking = next(host for host in site.hosts if host is not site.owner)
    asking.wait(1)
    requests, site.network.queue = site.network.queue, []
    site.clock.advance(600.0)
    site.network.queue = requests
    site.network.deliver()
    site.clock.advance(600.0)
    site.owner.timers.run()
    site.network.deliver()
    assert asking.sent_ms == []


def test_lowered_limit_is_kept_from_then_on(site):
    for host in site.hosts:
        host.wait(200)
    site.run(5_000.0)
    changed_ms = site.clock.now_ms()
    for host in site.hosts:
        host.row.limit.observe(0.5, seen_ms=changed_ms)
    site.run(10_000.0)
    assert 4 <= site.count(changed_ms) <= 6


def test_new_owner_starts_without_tokens(site):
    site.run(5_000.0)
    lost = site.owner
    site.hosts.remove(lost)
    for host in site.hosts:
        members = [item for item in host.permits._bus.members()]
        host.subset.set_members(
            [item for item in members if item.host_id != lost.subset.host_id]
        )
        host.wait(100)
    site.run(4_000.0)
    assert 7 <= site.count() <= 9, site.count()


def test_limit_above_half_a_request_a_host_needs_no_waiting(network, clock):
    site = Site(network, clock, 20.0)
    site.run(2_000.0)
    assert all(host.permits.may_send(host.row) for host in site.hosts)
    for host in site.hosts:
        host.wait(1)
    assert site.count() == HOSTS


def test_upstream_without_limit_needs_no_permit(site):
    host = site.hosts[0]
    host.permits.observe(host.row, math.inf)
    assert host.row.limit.named
    site.clock.advance(1.0)
    host.permits.observe(host.row, math.inf)
    assert host.permits.may_send(host.row)


def test_older_observation_does_not_replace_a_newer_one():
    limit = NamedLimit()
    assert limit.observe(2.0, seen_ms=10.0)
    assert not limit.observe(math.inf, seen_ms=9.0)
    assert limit.per_s == 2.0


def test_bucket_keeps_few_tokens(clock):
    bucket = TokenBucket(clock=clock)
    assert bucket.count(2.0) == 0
    clock.advance(60_000.0)
    assert bucket.count(2.0) == 1
    clock.advance(60_000.0)
    assert bucket.count(40.0) == 11


def test_host_that_was_paused_does_not_use_a_permit_that_has_run_out(network, clock):
    site = Site(network, clock, 6.0)
    site.run(2_000.0)
    paused = next(
        host
        for host in site.hosts
        if host is not site.owner and host.permits.may_send(host.row)
    )
    clock.advance(5_000.0)
    assert not paused.permits.may_send(paused.row)
