"""Tests of short runs in virtual time."""

import random

from bench.virtual.run import Plan, run_plan
from bench.virtual.sites import SITES
from bench.virtual.speed import SpeedProfile
from bench.virtual.targets import KILLED_MAX, REFUSAL_MAX_MS
from tests.functions import function_tests

load_tests = function_tests(__name__)

DURATION_MS = 300.0


def run(policy="tokens", case="shifting", load=0.85, site="himal", seed=7):
    plan = Plan(
        site=site,
        case=case,
        load=load,
        policy=policy,
        seed=seed,
        duration_ms=DURATION_MS,
    )
    return run_plan(plan)


def test_same_seed_gives_the_same_figures():
    first, second = run(), run()
    first.decision_us = second.decision_us = 0.0
    assert first == second


def test_measuring_calls_keep_within_the_budget():
    for load in (0.5, 1.2):
        result = run(load=load)
        share = SITES["himal"].make_spec().measuring.calls_per_request
        assert 0 < result.calls <= share * 1.05


def test_overload_is_refused_early_without_duplicate_runs():
    result = run(load=1.2)
    assert result.refused > 0.1
    assert result.refusal_max_ms <= REFUSAL_MAX_MS
    assert result.doubled == 0


def test_crashing_request_is_stopped():
    result = run(case="killer", load=0.7, seed=3)
    assert 0 < result.killed <= KILLED_MAX
    assert result.doubled == 0


def test_no_request_is_lost_in_a_drain():
    result = run(case="drain", load=0.5)
    assert result.failed == 0
    assert result.doubled == 0


def test_oracle_has_lower_p99_than_random():
    oracle = run(policy="oracle", load=0.7)
    uniform = run(policy="random", load=0.7)
    assert oracle.p99_ms < uniform.p99_ms


def test_finish_time_matches_integrated_speed():
    speed_profile = SpeedProfile(rng=random.Random(1), shifting=True, until_ms=1000.0)
    for start_ms in (0.0, 33.3, 500.0):
        end_ms = speed_profile.finish_ms(start_ms, 20.0)
        done_ms = speed_profile.work_until(end_ms) - speed_profile.work_until(start_ms)
        assert abs(done_ms - 20.0) < 1e-6
