"""Tests of histories: the invariants hold, and planted faults are detected."""

from tests.functions import function_tests
from tests.state.history import HistoryViolation
from tests.state.machine import MACHINES, run_machine
from tests.state.mutants import MUTANTS

load_tests = function_tests(__name__)

EXAMPLES = 25
MUTANT_EXAMPLES = 30


def test_histories_hold():
    for machine in MACHINES:
        run_machine(machine, examples=EXAMPLES)


def test_planted_faults_are_found():
    for promise, machine, seed_number in MUTANTS:
        try:
            run_machine(machine, examples=MUTANT_EXAMPLES, seed_number=seed_number)
        except HistoryViolation as exc:
            assert exc.promise == promise, exc
        else:
            raise AssertionError(f"{promise}: the planted fault was not found")
