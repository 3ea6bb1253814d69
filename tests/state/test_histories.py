"""Histories of concurrent runs hold, and planted faults are found in them."""

from tests.functions import function_tests
from tests.state.history import HistoryViolation
from tests.state.machine import StateMachine, run_machine
from tests.state.mutants import MUTANTS

load_tests = function_tests(__name__)

EXAMPLES = 25
MUTANT_EXAMPLES = 60


def test_histories_hold():
    run_machine(StateMachine, examples=EXAMPLES)


def test_planted_faults_are_found():
    for promise, machine in MUTANTS:
        try:
            run_machine(machine, examples=MUTANT_EXAMPLES)
        except HistoryViolation as exc:
            assert exc.promise == promise, exc
        else:
            raise AssertionError(f"{promise}: the planted fault was not found")
