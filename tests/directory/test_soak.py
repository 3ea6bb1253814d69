"""Plays a few seeds of the soak of the directory."""

from tests.directory.soak import find_faults, play
from tests.functions import function_tests

load_tests = function_tests(__name__)

# Seed 10 failed while late marks counted as fresh and readers took their turns singly.
SEEDS = (1, 2, 4, 10)


def test_changes_are_in_force_in_time_whatever_happens_to_readers():
    for seed in SEEDS:
        faults = find_faults(play(seed))
        assert not faults, (seed, faults)
