"""Tests of the cases of the live benchmark and of their results."""

import os
from dataclasses import replace

from bench.live.cases import Case, Condition, make_case_plan, rate_per_s
from bench.live.run import Totals, summarize
from bench.live.targets import check_targets
from bench.live.usage import read_usage
from standins.caller import Attempt, AttemptResult, Record
from standins.sites import HIMAL
from tests.functions import function_tests

load_tests = function_tests(__name__)


def make_case(condition=Condition.CALM):
    return Case(site=HIMAL, condition=condition, load=0.5, seed=1)


def make_totals(scale):
    return Totals(
        measuring_calls=2 * scale,
        measuring_bytes=40 * scale,
        store_calls=scale,
        entry_cpu_ms=3.0 * scale,
    )


def test_arrival_rate_follows_capacity_of_slowed_upstreams():
    calm, noisy = rate_per_s(make_case()), rate_per_s(make_case(Condition.NOISY))
    assert calm == 0.5 * 40 * 1000 / 50
    assert 0.5 < noisy / calm < 1.0
    planned = len(make_case_plan(make_case()))
    assert abs(planned - calm * 6) < 4 * (calm * 6) ** 0.5


def test_figures_count_only_difference_of_totals():
    plan = make_case_plan(make_case())[:4]
    results = [AttemptResult.DONE] * 3 + [AttemptResult.NOT_RUN]
    records = [
        Record(
            request=request,
            latency_ms=10.0,
            attempts=[Attempt(number=1, entry_port=1, result=result)],
        )
        for request, result in zip(plan, results)
    ]
    ledger = {"runs": {}, "measuring_calls": 99, "measuring_bytes": 99}
    before, after = make_totals(1), make_totals(3)
    figures = summarize(make_case(), records, [ledger], before, after)
    assert (figures.goodput, figures.refusals) == (0.75, 0.25)
    assert figures.measuring_calls_per_request == 1.0
    assert figures.measuring_bytes_per_request == 20.0
    assert figures.store_calls_per_request == 0.5
    assert figures.entry_cpu_us_per_request == 1500.0


def make_result(condition, *, p99_ms, lost=0):
    empty = summarize(make_case(condition), [], [], make_totals(1), make_totals(1))
    return replace(empty, p99_ms=p99_ms, lost=lost)


def test_targets_check_invariants_and_silent_connection_p99():
    calm = make_result(Condition.CALM, p99_ms=100.0)
    good = make_result(Condition.SILENT, p99_ms=200.0)
    assert all(check.passed for check in check_targets([calm, good]))
    slow = make_result(Condition.SILENT, p99_ms=201.0, lost=1)
    missed = [check.name for check in check_targets([calm, slow]) if not check.passed]
    assert missed == ["silent 50 % lost", "silent 50 % p99 to that of calm"]


def test_usage_is_zero_for_missing_process():
    assert read_usage(os.getpid()).resident_bytes > 1_000_000
    assert read_usage(2**30).cpu_ms == 0.0
