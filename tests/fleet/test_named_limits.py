"""Tests of fleets whose upstreams name a limit of requests a second."""

from standins.simulated_fleet import FleetPlan, LimitPlan, LimitTraffic, SimulatedFleet
from tests.functions import function_tests

load_tests = function_tests(__name__)
SPLIT_CASES = True

SETTLE_MS = 4_000.0  # load probes are most frequent for 3 s after the start
RUN_MS = 16_000.0
MIN_USED = 0.9  # of the limits, where the demand exceeds them


def play(loop, *, hosts=17, upstreams=31, seed=1, span_ms=RUN_MS, **traffic):
    """Run a fleet with limited upstreams, and return the verdict."""
    plan = FleetPlan(hosts=hosts, upstreams=upstreams, services=("desk",), seed=seed)
    fleet = SimulatedFleet(plan=plan, loop=loop)
    fleet.run(SETTLE_MS)
    return LimitTraffic(fleet=fleet, plan=LimitPlan(seed=seed, **traffic)).run(span_ms)


def test_limit_of_an_upstream_is_kept_by_all_hosts_together(loop):
    verdict = play(loop, limits_per_s=(1.3, 1.1, 0.1), requests_per_s=110.0)
    assert verdict.excess <= 0.0, str(verdict)
    assert verdict.failed == 0, str(verdict)


def test_limit_of_an_upstream_is_kept_by_a_single_host(loop):
    verdict = play(
        loop, hosts=1, upstreams=5, limits_per_s=(1.3, 1.1), requests_per_s=20.0
    )
    assert verdict.excess <= 0.0, str(verdict)


def test_limits_are_used_where_the_demand_exceeds_them(loop):
    verdict = play(loop, upstreams=6, limits_per_s=(6.0,) * 6, requests_per_s=60.0)
    assert verdict.excess <= 0.0, str(verdict)
    assert verdict.used >= MIN_USED, str(verdict)


def test_requests_above_all_limits_are_refused_early(loop):
    verdict = play(loop, upstreams=6, limits_per_s=(1.0,) * 6, requests_per_s=60.0)
    assert verdict.excess <= 0.0, str(verdict)
    assert verdict.late_refusals <= verdict.requests / 100, str(verdict)


def test_lowered_limit_is_kept(loop):
    verdict = play(
        loop, limits_per_s=(8.0, 4.0, 2.0), factor=0.25, requests_per_s=250.0
    )
    assert verdict.excess <= 0.0, str(verdict)


def test_limit_is_kept_while_hosts_are_replaced(loop):
    verdict = play(
        loop,
        upstreams=6,
        limits_per_s=(6.0, 3.0, 1.3, 1.1, 0.5, 0.1),
        requests_per_s=60.0,
        hosts_replaced_per_s=0.5,
    )
    assert verdict.excess <= 0.0, str(verdict)


def test_limit_that_is_no_longer_named_ends(loop):
    plan = FleetPlan(hosts=5, upstreams=8, services=("desk",))
    fleet = SimulatedFleet(plan=plan, loop=loop)
    fleet.run(SETTLE_MS)
    limited = fleet.live_upstreams()[0]
    LimitTraffic(
        fleet=fleet, plan=LimitPlan(limits_per_s=(1.0,), requests_per_s=40.0)
    ).run(8_000.0)
    limited.limit_per_s = None
    fleet.start_requests()
    fleet.run(8_000.0)
    first_ms = fleet.clock.now_ms()
    LimitTraffic(fleet=fleet, plan=LimitPlan(limits_per_s=(), requests_per_s=40.0)).run(
        8_000.0
    )
    arrivals = [at_ms for at_ms, _ in limited.arrivals if at_ms >= first_ms]
    assert len(arrivals) >= 16, f"{len(arrivals)} requests in 8 s, a fair share is 40"
