"""Tests of series of changes while several hosts are in trouble at once."""

from tests.directory.series import SeriesTrouble, play_series
from tests.functions import function_tests

load_tests = function_tests(__name__)

SMALL_SITE_BOUND_MS = 2_000.0
GROWN_SITE_BOUND_MS = 2_500.0


def find_late(*, hosts, bound_ms, deaf, interval_ms, seeds):
    trouble = SeriesTrouble(loss=0.05, ignored=1 / 3, late_ms=1_500.0, deaf=deaf)
    worst_ms = {
        seed: play_series(
            seed, hosts=hosts, trouble=trouble, interval_ms=interval_ms
        ).worst_ms
        for seed in seeds
    }
    return {seed: worst for seed, worst in worst_ms.items() if worst > bound_ms}


def test_no_host_lacks_a_change_too_long_while_17_hosts_see_series_of_changes():
    late = find_late(
        hosts=17,
        bound_ms=SMALL_SITE_BOUND_MS,
        deaf=0.1,
        interval_ms=200.0,
        seeds=(205, 241, *range(1, 9)),
    )
    assert not late, late


def test_no_host_lacks_a_change_too_long_while_122_hosts_see_series_of_changes():
    late = find_late(
        hosts=122,
        bound_ms=GROWN_SITE_BOUND_MS,
        deaf=0.05,
        interval_ms=200.0,
        seeds=(1,),
    )
    assert not late, late
