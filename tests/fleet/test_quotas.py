"""Tests of fleets whose client accounts have quotas."""

from mangohatch.core.accounts import Account
from mangohatch.core.limits.quota_bounds import QuotaBounds
from standins.simulated_fleet import (
    FleetPlan,
    QuotaPlan,
    QuotaTraffic,
    SimulatedFleet,
)
from tests.functions import function_tests

load_tests = function_tests(__name__)
SPLIT_CASES = True

QUOTA = QuotaBounds(window_ms=5_000.0, over=0.1, slack=20.0)
RATES = {"small": 4.0, "medium": 20.0, "large": 60.0, "loud": 10.0, "loudest": 40.0}
ABUSE = 7.5  # times its usual rate, of which an account uses half of its quota
SETTLE_MS = 4_000.0
RUN_MS = 24_000.0
MAX_REJECTED = 0.001
MAX_REJECTED_IN_FAULTS = 0.02
MAX_WAIT_MS = 2.0


def play(loop, *, hosts=13, seed=1, span_ms=RUN_MS, quota=QUOTA, **faults):
    """Run a fleet whose accounts send half of their rate, and two 7.5 times as much."""
    demand = {
        name: rate / 2 * (ABUSE if name.startswith("loud") else 1.0)
        for name, rate in RATES.items()
    }
    accounts = tuple(
        Account(name=name, key_digests=frozenset(), per_s=rate, burst=rate)
        for name, rate in RATES.items()
    )
    plan = FleetPlan(
        hosts=hosts,
        upstreams=30,
        services=("desk",),
        seed=seed,
        accounts=accounts,
        quota=quota,
    )
    fleet = SimulatedFleet(plan=plan, loop=loop)
    fleet.run(SETTLE_MS)
    traffic = QuotaPlan(demand=demand, seed=seed, **faults)
    return QuotaTraffic(fleet=fleet, plan=traffic, bounds=QUOTA).run(span_ms)


def test_quota_is_kept_and_costs_one_message_on_a_normal_day(loop):
    verdict = play(loop)
    assert verdict.excess <= 0.0, str(verdict)
    assert verdict.rejected <= MAX_REJECTED, str(verdict)
    assert verdict.used >= 0.9, str(verdict)
    assert verdict.messages <= 1.0, str(verdict)


def test_quota_is_kept_by_a_single_host(loop):
    verdict = play(loop, hosts=1, span_ms=9_000.0)
    assert verdict.excess <= 0.0, str(verdict)
    assert verdict.rejected <= MAX_REJECTED, str(verdict)


def test_without_bounds_accounts_are_not_limited_and_cause_no_message(loop):
    verdict = play(loop, quota=None, span_ms=9_000.0)
    assert verdict.excess > 0.0, str(verdict)
    assert verdict.messages == 0.0, str(verdict)
    assert "quota_exceeded" not in verdict.errors, str(verdict)


def test_quota_is_kept_while_a_third_of_the_hosts_is_killed(loop):
    verdict = play(loop, kills=True)
    assert verdict.excess <= 0.0, str(verdict)


def test_quota_is_kept_in_a_partition_and_after_it(loop):
    verdict = play(loop, partition=True)
    assert verdict.excess <= 0.0, str(verdict)


def test_quota_is_kept_while_hosts_are_replaced(loop):
    verdict = play(loop, restarts_per_s=0.3)
    assert verdict.excess <= 0.0, str(verdict)


def test_few_requests_are_rejected_while_a_third_of_the_hosts_is_killed(loop):
    verdict = play(loop, span_ms=60_000.0, kills=True)
    assert verdict.rejected <= MAX_REJECTED_IN_FAULTS, str(verdict)


def test_median_wait_for_a_permit_is_short(loop):
    verdict = play(loop, span_ms=9_000.0)
    assert verdict.wait_ms <= MAX_WAIT_MS, str(verdict)


def test_few_requests_are_rejected_in_a_partition(loop):
    verdict = play(loop, span_ms=60_000.0, partition=True)
    assert verdict.rejected <= MAX_REJECTED_IN_FAULTS, str(verdict)
