"""Tests of the evidence that direct paths are lost."""

from mangohatch.core.paths import PathTable
from mangohatch.core.tables import Tables
from mangohatch.core.upstream_path import ConnectFailure
from tests.fixtures import make_service
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

ZONES = {"u1": "puno", "u2": "puno", "u3": "cusco", "u4": "cusco"}


@fixture
def tables():
    tables = Tables()
    tables.apply(make_service("desk", upstreams=len(ZONES)), revision=1)
    for name, zone in ZONES.items():
        tables.services["desk"].upstreams[name].zone = zone
    return tables


@fixture
def rows(tables):
    return tables.services["desk"].upstreams


@fixture
def paths(clock, tables):
    return PathTable(clock=clock, tables=tables)


def lost_names(paths, rows):
    return [name for name, row in rows.items() if paths.is_lost(row)]


def record_detour(paths, clock, row):
    since_ms = clock.now_ms()
    clock.advance(50.0)
    paths.record_detour(row, since_ms=since_ms, relay="peer")


def test_one_detour_loses_one_path(paths, rows, clock):
    record_detour(paths, clock, rows["u1"])
    assert lost_names(paths, rows) == ["u1"]


def test_detours_in_several_zones_lose_all_paths(paths, rows, clock):
    record_detour(paths, clock, rows["u1"])
    record_detour(paths, clock, rows["u3"])
    assert lost_names(paths, rows) == list(ZONES)


def test_detours_of_a_zone_lose_its_paths_while_another_zone_is_heard(
    paths, rows, clock
):
    record_detour(paths, clock, rows["u1"])
    paths.record_heard(rows["u3"])
    record_detour(paths, clock, rows["u2"])
    assert lost_names(paths, rows) == ["u1", "u2"]
    assert paths.lost_zones() == ["puno"]


def test_kept_connections_that_live_on_lose_no_other_path(paths, rows, clock):
    record_detour(paths, clock, rows["u1"])
    paths.record_heard(rows["u2"])
    paths.record_heard(rows["u4"])
    record_detour(paths, clock, rows["u3"])
    assert lost_names(paths, rows) == ["u1", "u3"]


def test_connection_that_was_accepted_after_an_attempt_began_keeps_its_path(
    paths, rows, clock
):
    since_ms = clock.now_ms()
    clock.advance(10.0)
    paths.record_connected(rows["u1"])
    paths.record_detour(rows["u1"], since_ms=since_ms, relay="peer")
    assert not lost_names(paths, rows)


def test_accepted_connection_ends_the_loss_of_its_zone(paths, rows, clock):
    record_detour(paths, clock, rows["u1"])
    record_detour(paths, clock, rows["u3"])
    paths.record_connected(rows["u2"])
    assert lost_names(paths, rows) == ["u1", "u3"]
    paths.record_connected(rows["u1"])
    paths.record_connected(rows["u3"])
    assert not lost_names(paths, rows)


def test_lost_paths_are_checked_in_turn(paths, rows, clock):
    record_detour(paths, clock, rows["u1"])
    record_detour(paths, clock, rows["u3"])
    checked = []
    for _ in range(8):
        checked += [row.name for row in paths.due_checks(waiting=False)]
        clock.advance(250.0)
    assert set(checked) == set(ZONES)
    assert len(checked) <= 8 * 2


def test_other_paths_are_suspected_after_the_first_detour(paths, rows, clock):
    record_detour(paths, clock, rows["u1"])
    suspects = {row.name for row in paths.due_checks(waiting=False)}
    assert {"u2", "u3", "u4"} <= suspects


def test_path_of_a_waiting_request_is_checked_when_nothing_is_heard(paths, rows, clock):
    paths.record_heard(rows["u2"])
    rows["u1"].in_flight = 1
    assert not paths.due_checks(waiting=True)
    clock.advance(301.0)
    assert [row.name for row in paths.due_checks(waiting=True)] == ["u1"]
    clock.advance(301.0)
    assert not paths.due_checks(waiting=True)


def test_host_without_loss_and_requests_checks_nothing(paths, rows, clock):
    clock.advance(5_000.0)
    assert not paths.due_checks(waiting=False)


def test_upstream_that_a_peer_does_not_reach_either_gets_no_further_detour(
    paths, rows, clock
):
    paths.record_detour_failed(rows["u1"])
    assert not paths.allows_detour(rows["u1"])
    clock.advance(1_000.0)
    assert paths.allows_detour(rows["u1"])


def test_host_that_reaches_no_upstream_any_more_suspects_itself(paths, rows):
    paths.record_detour_failed(rows["u1"])
    paths.record_failed(rows["u1"], ConnectFailure.REFUSED)
    paths.record_failed(rows["u1"], ConnectFailure.REFUSED)
    assert not paths.suspects_itself()
    paths.record_failed(rows["u3"], ConnectFailure.REFUSED)
    assert paths.suspects_itself()
    assert paths.allows_detour(rows["u1"])
    paths.record_heard(rows["u4"])
    assert not paths.suspects_itself()


def test_upstream_that_is_gone_is_checked_no_more(paths, rows, clock, tables):
    record_detour(paths, clock, rows["u1"])
    tables.remove("desk", revision=2)
    clock.advance(250.0)
    assert not paths.due_checks(waiting=False)
