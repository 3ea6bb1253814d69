"""Tests of the tables of a host that uses a part of the upstreams."""

from dataclasses import replace

from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import Tables
from mangohatch.directory import assignment_log, table_updater
from mangohatch.directory.content import (
    Configuration,
    RegisteredUpstream,
    ServiceOptions,
)
from mangohatch.directory.table_updater import TableUpdater
from mangohatch.entry.limits import CallerLimits
from mangohatch.peer.bus import MemberView
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

UPSTREAMS = 60


class LogLines:
    """Collects log lines in place of a logger."""

    def __init__(self):
        self.lines = []

    def info(self, event, **values):
        self.lines.append((event, values))

    def of(self, event):
        return [values for name, values in self.lines if name == event]


class Updated:
    """A host's tables with their updater."""

    def __init__(self, clock):
        self.clock = clock
        self.members = []
        self.tables = Tables()
        self.subset = SubsetTable(host_id="h0")
        self.unused = {}
        self.updater = TableUpdater(
            clock=clock,
            tables=self.tables,
            limits=CallerLimits(),
            subset=self.subset,
            members=lambda: self.members,
            on_unused=self.unused.__setitem__,
        )
        self.updater.apply_configuration(make_configuration(), revision=1)
        self.set_upstreams(UPSTREAMS)

    def set_upstreams(self, count, *, without=()):
        self.updater.apply_upstreams(
            [
                make_upstream(number)
                for number in range(count)
                if f"u{number}" not in without
            ]
        )

    def set_hosts(self, count):
        self.members = [
            MemberView(host_id=f"h{number}", incarnation=1, zone="puno")
            for number in range(count)
        ]

    def run(self, span_ms, *, step_ms=50.0):
        for _ in range(int(span_ms / step_ms)):
            self.clock.advance(step_ms)
            self.updater.tick()

    @property
    def rows(self):
        return self.tables.services["desk"].upstreams


def make_configuration():
    return Configuration(
        version=1,
        routes=(),
        services={"desk": ServiceOptions(health_path="/healthz", connections=10)},
        limits=CallerLimits(),
    )


def make_upstream(number):
    return RegisteredUpstream(
        name=f"u{number}",
        service="desk",
        address="127.0.0.1",
        port=1 + number,
        zone="puno",
        slots=2,
        draining=False,
        started_ms=5.0,
        warm_wall_ms=0.0,
    )


@fixture
def lines():
    made = LogLines()
    saved = table_updater.log, assignment_log.log
    table_updater.log = assignment_log.log = made
    yield made
    table_updater.log, assignment_log.log = saved


@fixture
def host(clock, lines):
    return Updated(clock)


def test_small_site_uses_all_upstreams_and_logs_no_assignment(host, lines):
    host.set_hosts(8)
    host.run(5_000.0)
    assert len(host.rows) == UPSTREAMS
    assert not lines.of("upstreams_assigned")


def test_upstream_that_is_gone_takes_no_request_placed_before(host):
    host.set_hosts(8)
    host.run(500.0)
    row = host.rows["u3"]
    row.in_flight = 1
    host.set_upstreams(UPSTREAMS, without={"u3"})
    assert "u3" not in host.rows
    assert row.drain_causes
    host.set_upstreams(UPSTREAMS)
    assert host.rows["u3"] is row
    assert not row.drain_causes


def test_warm_up_ends_soon_whatever_the_time_of_day(host):
    wrong_ms = host.clock.wall_ms() + 2_400_000.0
    cold = [
        replace(make_upstream(number), started_ms=9.0, warm_wall_ms=wrong_ms)
        for number in range(UPSTREAMS)
    ]
    host.updater.apply_upstreams(cold)
    latest_ms = host.clock.now_ms() + table_updater.MAX_WARM_UP_MS
    assert all(row.warm_at_ms <= latest_ms for row in host.rows.values())
    host.run(2_000.0)
    host.updater.apply_upstreams(cold[1:])
    assert all(row.warm_at_ms <= latest_ms for row in host.rows.values())


def test_table_holds_the_assigned_upstreams(host):
    host.set_hosts(136)
    host.run(1_000.0)
    assert host.rows.keys() == host.subset.assigned("desk")
    assert 0 < len(host.rows) < UPSTREAMS
    assert all(row.reported for row in host.rows.values())
    assert host.unused["desk"] | host.rows.keys() == {
        f"u{number}" for number in range(UPSTREAMS)
    }


def test_joining_hosts_are_applied_in_batches(host):
    versions = set()
    for count in range(1, 137):
        host.set_hosts(count)
        host.run(10.0, step_ms=10.0)
        versions.add(host.subset.version)
    assert len(versions) <= 8, versions


def test_joining_hosts_share_a_log_line(host, lines):
    for count in range(1, 137):
        host.set_hosts(count)
        host.run(10.0, step_ms=10.0)
    host.run(4_000.0)
    assert len(lines.of("upstreams_changed")) == 1 + 1
    assert len(lines.of("upstreams_assigned")) <= 2
    last = lines.of("upstreams_assigned")[-1]
    assert last["count"] == len(host.rows)
    assert (last["registered"], last["hosts"]) == (UPSTREAMS, 136)


def test_log_tells_why_an_upstream_left_the_table(host, lines):
    host.set_hosts(135)
    host.run(4_000.0)
    gone = min(host.rows)
    host.set_upstreams(UPSTREAMS, without={gone})
    host.run(4_000.0)
    assert lines.of("upstreams_changed")[-1]["gone"] == gone
    before = set(host.rows)
    host.set_hosts(60)
    host.run(4_000.0)
    removed = before - host.rows.keys()
    added = host.rows.keys() - before
    assert removed or added
    last = lines.of("upstreams_assigned")[-1]
    assert last["added"] == ",".join(sorted(added))
    assert last["removed"] == ",".join(sorted(removed))


def test_row_keeps_its_requests_when_its_upstream_is_assigned_again(host, clock):
    host.set_hosts(1)
    host.run(1_000.0)
    rows = dict(host.rows)
    for row in rows.values():
        row.in_flight = 1
        row.load.begin(clock.now_ms())
    host.set_hosts(136)
    host.run(1_000.0)
    left = rows.keys() - host.rows.keys()
    assert left
    assert not any(rows[name].reported for name in left)
    host.set_hosts(1)
    host.run(1_000.0)
    assert all(host.rows[name] is rows[name] for name in left)
    assert all(host.rows[name].load.occupancy() == 1 for name in left)
    assert all(host.rows[name].reported for name in left)


def test_row_without_requests_starts_anew_when_assigned_again(host):
    host.set_hosts(1)
    host.run(1_000.0)
    rows = dict(host.rows)
    host.set_hosts(136)
    host.run(1_000.0)
    left = rows.keys() - host.rows.keys()
    host.set_hosts(1)
    host.run(1_000.0)
    assert not any(host.rows[name] is rows[name] for name in left)


def test_upstream_gone_from_the_store_still_counts_as_reported(host):
    host.set_hosts(136)
    host.run(1_000.0)
    name = min(host.rows)
    row = host.rows[name]
    host.set_upstreams(UPSTREAMS, without={name})
    assert name not in host.rows
    assert row.reported
