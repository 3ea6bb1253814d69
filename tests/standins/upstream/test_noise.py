"""Tests of the slowdowns by noisy neighbours."""

from hypothesis import given, settings, strategies

from standins.upstream.noise import NoiseSchedule, mean_speed
from tests.functions import function_tests

load_tests = function_tests(__name__)


@settings(derandomize=True, max_examples=50, deadline=None)
@given(strategies.lists(strategies.floats(0, 300), min_size=1, max_size=30))
def test_noise_repeats_by_seed_and_stays_within_its_factor(gaps):
    one, two = (NoiseSchedule(seed=7, start_ms=0) for _ in range(2))
    now_ms = 0.0
    for gap_ms in gaps:
        now_ms += gap_ms
        end_ms = one.finish_ms(now_ms, 10.0, 4.0)
        assert end_ms == two.finish_ms(now_ms, 10.0, 4.0)
        assert 10.0 - 1e-6 <= end_ms - now_ms <= 40.0 + 1e-6


def test_noise_switches_within_milliseconds():
    schedule = NoiseSchedule(seed=7, start_ms=0)
    ends = [schedule.finish_ms(start, 1.0, 4.0) - start for start in range(1000)]
    changes = sum(1 for old, new in zip(ends, ends[1:]) if old != new)
    assert 1000 / 50 <= changes <= 2 * 1000 / 5
    assert {round(end, 3) for end in ends} >= {1.0, 2.5, 4.0}


def test_mean_speed_agrees_with_the_schedule():
    schedule = NoiseSchedule(seed=7, start_ms=0)
    end_ms = schedule.finish_ms(0.0, 100_000.0, 3.0)
    assert abs(100_000.0 / end_ms - mean_speed(3.0)) < 0.02
