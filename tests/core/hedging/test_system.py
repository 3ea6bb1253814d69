"""Tests of the rules under which a late request gets a second attempt."""

from dataclasses import replace

from mangohatch.core.call import Call, Refusal, Report, Result
from mangohatch.core.health.outlier import OutlierDetector
from mangohatch.core.health.settings import HealthSettings
from mangohatch.core.health.table import HealthRow, HealthTable
from mangohatch.core.hedging import (
    HedgePolicy,
    HedgeRefusal,
    HedgeShare,
    HedgeSystem,
    ReportedSlowness,
)
from mangohatch.core.hedging.share import MAX_STORED_HEDGES
from tests.core.choice.test_expected import SERVICE, Bench
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

CALL = Call(
    request_id="r",
    service=SERVICE,
    arrived_ms=0.0,
    deadline_ms=1_000.0,
    idempotent=True,
    attempt=2,
    hedge=True,
)


class AlwaysLate(HedgePolicy):
    sooner = True

    def is_late(self, grant):
        return True

    def is_sooner(self, grant, hedge):
        return self.sooner


@fixture
def bench(clock, rng):
    clock.advance(1_000.0)
    made = Bench(clock, rng)
    for name in made.rows:
        made.report(name)
    return made


@fixture
def policy(bench):
    return ReportedSlowness(
        clock=bench.clock,
        tables=bench.tables,
        estimator=bench.estimator,
        chooser=bench.chooser,
    )


def make_system(*, ratio=1.0, policy=None, suspected=False, waiting=False):
    system = HedgeSystem(
        policy=policy or AlwaysLate(),
        share=HedgeShare(ratio=ratio),
        is_suspected=lambda call: suspected,
        has_waiting=lambda service: waiting,
    )
    system.earn(CALL)
    return system


def take(system, call=CALL, budget=True):
    return system.take(None, call, lambda: budget)


def first_attempt(bench, *, slowdown, after_ms=160.0):
    bench.ask(objective_ms=bench.clock.now_ms() + 300.0)
    grant = bench.decisions[-1]
    bench.clock.advance(20.0)
    bench.report(grant.upstream.name, running=1, slowdown=slowdown)
    bench.clock.advance(after_ms - 20.0)
    for name in bench.rows:
        if name != grant.upstream.name:
            bench.report(name)
    call = grant.call
    avoid = frozenset({grant.upstream.name})
    return grant, replace(call, avoid=avoid, attempt=2, hedge=True)


def test_late_request_is_hedged_within_all_limits():
    assert take(make_system()) is None


def test_each_rule_refuses_with_its_cause():
    no_sooner = AlwaysLate()
    no_sooner.sooner = False
    cases = {
        HedgeRefusal.UNSAFE: (make_system(), replace(CALL, idempotent=False), True),
        HedgeRefusal.ATTEMPTS: (make_system(), replace(CALL, max_attempts=1), True),
        HedgeRefusal.SUSPECTED: (make_system(suspected=True), CALL, True),
        HedgeRefusal.WAITING: (make_system(waiting=True), CALL, True),
        HedgeRefusal.NO_UPSTREAM: (make_system(policy=no_sooner), CALL, True),
        HedgeRefusal.SHARE: (make_system(ratio=0.05), CALL, True),
        HedgeRefusal.BUDGET: (make_system(), CALL, False),
    }
    for cause, (system, call, budget) in cases.items():
        assert take(system, call, budget) is cause, cause
    isolated = replace(CALL, isolated=True)
    assert take(make_system(), isolated) is HedgeRefusal.SUSPECTED
    leaving = make_system()
    leaving.leaving = True
    assert take(leaving) is HedgeRefusal.LEAVING


def test_refusal_by_the_retry_budget_spends_nothing_of_the_share():
    system = make_system()
    assert take(system, budget=False) is HedgeRefusal.BUDGET
    assert take(system) is None


def test_no_request_is_late_while_hedging_is_off():
    system = make_system(ratio=0.0)
    assert not system.enabled
    assert not system.is_late(None)
    assert take(system) is HedgeRefusal.SHARE


def test_share_holds_in_every_window(rng):
    ratio = 0.05
    share = HedgeShare(ratio=ratio)
    events = []
    for _ in range(5_000):
        # Bursts of requests alternate with many late requests.
        if rng.random() < (0.9 if rng.random() < 0.5 else 0.1):
            share.earn(CALL)
            events.append(0)
        elif share.available(CALL):
            share.take(CALL)
            events.append(1)
    assert sum(events) > 0.9 * ratio * events.count(0)
    for start in range(0, len(events), 50):
        requests = hedges = 0
        for hedge in events[start:]:
            hedges += hedge
            requests += not hedge
            assert hedges <= ratio * requests + MAX_STORED_HEDGES + 1e-6


def test_share_is_kept_for_each_service():
    share = HedgeShare(ratio=1.0)
    share.earn(replace(CALL, service="other"))
    assert not share.available(CALL)


def test_attempt_on_an_upstream_that_became_slow_is_late(bench, policy):
    grant, hedge = first_attempt(bench, slowdown=4.0)
    assert policy.is_late(grant)
    assert policy.is_sooner(grant, hedge)


def test_attempt_on_a_fast_upstream_is_not_late(bench, policy):
    grant, _ = first_attempt(bench, slowdown=1.0)
    assert not policy.is_late(grant)


def test_no_hedge_goes_where_all_others_are_slow_or_full(bench, policy):
    grant, hedge = first_attempt(bench, slowdown=4.0)
    for running, slowdown in ((2, 1.0), (0, 4.0)):
        bench.clock.advance(1.0)
        for name in bench.rows:
            if name != grant.upstream.name:
                bench.report(name, running=running, slowdown=slowdown)
        assert not policy.is_sooner(grant, hedge)


def test_host_that_knows_no_speeds_sends_no_hedge(bench, policy):
    grant, hedge = first_attempt(bench, slowdown=4.0)
    for row in bench.rows.values():
        row.load.forget_reports()
    assert not policy.is_late(grant)
    assert not policy.is_sooner(grant, hedge)


def test_router_refuses_a_hedge_that_would_wait(bench):
    for name in bench.rows:
        bench.clock.advance(1.0)
        bench.report(name, running=2)
    bench.ask(hedge=True)
    assert isinstance(bench.decisions[-1], Refusal)
    assert bench.router.count_waiting(SERVICE) == 0


def test_loser_is_no_failure_but_may_show_that_an_upstream_is_slow(clock):
    detector = OutlierDetector(cfg=HealthSettings(), table=HealthTable())
    row = HealthRow(service=SERVICE, name="u1", address=("127.0.0.1", 1))
    row.latency_ms = 100.0
    for latency_ms, expected in ((20.0, 100.0), (400.0, None)):
        report = Report(result=Result.SUPERSEDED, latency_ms=latency_ms)
        detector.update(row, report, now_ms=clock.now_ms())
        assert row.consecutive_failures == row.attempts == 0
        assert row.latency_ms == expected or (expected is None and row.latency_ms > 100)
