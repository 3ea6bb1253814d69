"""Tests of moving requests away from upstreams that became slow."""

from mangohatch.core.moving import MovePolicy
from tests.core.choice.test_expected import SERVICE, Bench
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def bench(clock, rng):
    clock.advance(1_000.0)
    made = Bench(clock, rng)
    for name in made.rows:
        made.report(name)
    return made


@fixture
def policy(bench):
    return MovePolicy(
        clock=bench.clock,
        tables=bench.tables,
        estimator=bench.estimator,
        chooser=bench.chooser,
    )


def request_grant(bench, *, objective_after_ms=300.0):
    now_ms = bench.clock.now_ms()
    bench.ask(objective_ms=now_ms + objective_after_ms)
    return bench.decisions[-1]


def test_request_on_an_upstream_that_became_slow_moves(bench, policy):
    grant = request_grant(bench)
    bench.clock.advance(20.0)
    bench.report(grant.upstream.name, running=1, slowdown=4.0)
    assert policy.should_move(grant)


def test_request_that_meets_its_objective_stays(bench, policy):
    grant = request_grant(bench)
    bench.clock.advance(20.0)
    assert not policy.should_move(grant)
    relaxed = request_grant(bench, objective_after_ms=900.0)
    bench.report(relaxed.upstream.name, running=1, slowdown=4.0)
    assert not policy.should_move(relaxed)


def test_request_stays_when_no_better_slot_is_free(bench, policy):
    grant = request_grant(bench)
    bench.clock.advance(20.0)
    for name in bench.rows:
        bench.report(name, running=2, slowdown=4.0)
    assert not policy.should_move(grant)


def test_request_that_would_be_late_either_way_stays(bench, policy):
    grant = request_grant(bench)
    bench.clock.advance(250.0)
    bench.report(grant.upstream.name, running=1, slowdown=4.0)
    assert not policy.should_move(grant)


def test_request_of_a_removed_service_stays(bench, policy):
    grant = request_grant(bench)
    bench.tables.remove(SERVICE, revision=2)
    assert not policy.should_move(grant)
