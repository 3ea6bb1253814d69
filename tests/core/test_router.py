"""Tests of the router."""

from mangohatch.core.call import Call, Grant, Refusal, Report, Result
from mangohatch.core.health import NoHealth
from mangohatch.core.router import Router
from mangohatch.core.tables import UpstreamState
from tests.fixtures import make_service
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def router(clock, rng, tables):
    return Router(clock=clock, rng=rng, tables=tables)


def make_call(**changes):
    values = dict(
        request_id="r1",
        service="tablero-misa",
        arrived_ms=0.0,
        deadline_ms=1000.0,
        idempotent=True,
    )
    return Call(**(values | changes))


def test_least_loaded_upstream_is_granted(router):
    decisions = []
    for _ in range(3):
        router.request(make_call(), decisions.append)
    assert {decision.upstream.name for decision in decisions} == {"u1", "u2", "u3"}


def test_ineligible_upstream_gets_no_new_work(clock, rng, tables):
    class OnlyFirstEligible(NoHealth):
        def eligible(self, row, call):
            return row.name == "u1"

    router = Router(clock=clock, rng=rng, tables=tables, health=OnlyFirstEligible())
    decisions = []
    for _ in range(3):
        router.request(make_call(), decisions.append)
    assert {decision.upstream.name for decision in decisions} == {"u1"}


def test_draining_upstream_gets_no_new_work(router, tables):
    rows = tables.services["tablero-misa"].upstreams
    rows["u1"].state = UpstreamState.DRAINING
    decisions = []
    for _ in range(4):
        router.request(make_call(avoid=frozenset({"u2"})), decisions.append)
    assert {decision.upstream.name for decision in decisions} == {"u3"}


def test_call_without_candidates_is_refused_as_not_run(router):
    decisions = []
    router.request(make_call(avoid=frozenset({"u1", "u2", "u3"})), decisions.append)
    assert isinstance(decisions[0], Refusal)
    assert decisions[0].error.outcome == "not_run"


def test_release_ends_the_grant(router):
    decisions = []
    router.request(make_call(), decisions.append)
    assert isinstance(decisions[0], Grant)
    router.release(decisions[0], Report(result=Result.OK, latency_ms=1.0))
    assert decisions[0].upstream.in_flight == 0


def test_release_after_a_configuration_change_is_counted(router, tables):
    decisions = []
    router.request(make_call(), decisions.append)
    name = decisions[0].upstream.name
    tables.apply(make_service(slots=4), revision=2)
    row = tables.services["tablero-misa"].upstreams[name]
    assert (row.in_flight, row.slots) == (1, 4)
    router.release(decisions[0], Report(result=Result.OK, latency_ms=1.0))
    assert row.in_flight == 0
