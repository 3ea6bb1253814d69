"""Tests of the detection of periodic speed changes."""

import random

from mangohatch.core.change_period import ChangePeriodTable
from tests.functions import function_tests

PERIOD_MS = 300.0
UPSTREAMS = 28
SLOW_SHARE = 0.25

load_tests = function_tests(__name__)


def simulate(
    table: ChangePeriodTable,
    rng: random.Random,
    *,
    length_ms: float,
    start_ms: float = 0.0,
    interval_ms: float = 40.0,
    period_ms: float = PERIOD_MS,
    max_delay_ms: float = 8.0,
    phases: list[float] | None = None,
) -> list[float]:
    """Feed a table the changes that probes observe on simulated upstreams."""
    phases = phases or [rng.uniform(0, period_ms) for _ in range(UPSTREAMS)]
    epochs: list[dict[int, bool]] = [{} for _ in phases]
    last: list[tuple[float, bool] | None] = [None] * len(phases)
    now_ms = start_ms
    while now_ms < start_ms + length_ms:
        now_ms += interval_ms
        for number, phase in enumerate(phases):
            true_ms = now_ms + rng.uniform(0, 3)
            epoch = int((true_ms - phase) // period_ms)
            slow = epochs[number].setdefault(epoch, rng.random() < SLOW_SHARE)
            seen_ms = true_ms + rng.uniform(0, max_delay_ms)
            before = last[number]
            if before is not None and before[1] != slow:
                table.observe(f"u{number}", after_ms=before[0], until_ms=seen_ms)
            last[number] = (seen_ms, slow)
    return phases


def error_ms(table: ChangePeriodTable, name: str, phase: float, now_ms: float) -> float:
    predicted = table.next_change_ms(name, now_ms)
    if predicted is None:
        return PERIOD_MS
    return abs((predicted - phase + PERIOD_MS / 2) % PERIOD_MS - PERIOD_MS / 2)


def test_finds_period_and_phases_within_three_seconds(rng):
    table = ChangePeriodTable()
    phases = simulate(table, rng, length_ms=3_000.0)
    assert table.period_ms is not None
    assert abs(table.period_ms - PERIOD_MS) < 5.0
    errors = [
        error_ms(table, f"u{number}", phase, 3_000.0)
        for number, phase in enumerate(phases)
    ]
    assert sum(error < 30.0 for error in errors) >= 0.8 * UPSTREAMS


def test_phases_stay_accurate_for_30_s_of_slower_probes(rng):
    table = ChangePeriodTable()
    phases = simulate(table, rng, length_ms=3_000.0)
    simulate(
        table,
        rng,
        length_ms=30_000.0,
        start_ms=3_000.0,
        interval_ms=90.0,
        phases=phases,
    )
    errors = [
        error_ms(table, f"u{number}", phase, 33_000.0)
        for number, phase in enumerate(phases)
    ]
    assert sum(error < 30.0 for error in errors) >= 0.9 * UPSTREAMS


def test_irregular_changes_have_no_period(rng):
    table = ChangePeriodTable()
    now_ms = {f"u{number}": 0.0 for number in range(UPSTREAMS)}
    for _ in range(20):
        for name in now_ms:
            now_ms[name] += rng.expovariate(1 / 500.0) + 40.0
            table.observe(name, after_ms=now_ms[name] - 40.0, until_ms=now_ms[name])
    assert table.period_ms is None


def test_restarted_upstream_gets_a_new_phase(rng):
    table = ChangePeriodTable()
    phases = simulate(table, rng, length_ms=6_000.0)
    phases[0] = (phases[0] + 130.0) % PERIOD_MS
    simulate(table, rng, length_ms=9_000.0, start_ms=6_000.0, phases=phases)
    assert table.period_ms is not None
    assert error_ms(table, "u0", phases[0], 15_000.0) < 30.0


def test_new_period_replaces_the_old_one(rng):
    table = ChangePeriodTable()
    simulate(table, rng, length_ms=5_000.0)
    simulate(table, rng, length_ms=30_000.0, start_ms=5_000.0, period_ms=470.0)
    assert table.period_ms is not None
    assert abs(table.period_ms - 470.0) < 5.0


def test_removed_upstreams_are_forgotten(rng):
    table = ChangePeriodTable()
    simulate(table, rng, length_ms=3_000.0)
    table.retain(set())
    assert table.next_change_ms("u0", 3_000.0) is None
