"""Random histories of permits, and planted faults that the machine must detect."""

from mangohatch.core.limits import ColdStates
from tests.core.limits.cold_machine import ColdMachine
from tests.functions import function_tests
from tests.peer.membership.machine import run_machine

load_tests = function_tests(__name__)
SPLIT_CASES = True

EXAMPLES = 15
FAULT_EXAMPLES = 80
STEPS = 20


def find_failure(states_type):
    class Faulty(ColdMachine):
        pass

    Faulty.states_type = states_type
    try:
        run_machine(Faulty, examples=FAULT_EXAMPLES, steps=STEPS)
    except AssertionError as exc:
        return str(exc)
    return ""


def test_histories_hold():
    run_machine(ColdMachine, examples=EXAMPLES, steps=STEPS)


def test_machine_catches_parts_of_a_fleet_that_give_out_the_whole_rate():
    class Unshared(ColdStates):
        def per_s(self, row):
            share = self._ownership.share()
            return super().per_s(row) / share

    assert "requests in a second" in find_failure(Unshared)


def test_machine_catches_hosts_that_take_unknown_upstreams_for_warm():
    class Trusting(ColdStates):
        def tick(self):
            for row in self._tables.upstreams():
                row.cold.cold = row.cold.known
            super().tick()

    assert "requests in a second" in find_failure(Trusting)
