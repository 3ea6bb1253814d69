"""Random histories of membership, and planted faults that the checks must detect."""

from mangohatch.peer.membership import Membership
from tests.functions import function_tests
from tests.peer.membership.machine import MembershipMachine, run_machine

load_tests = function_tests(__name__)

EXAMPLES = 15
FAULT_EXAMPLES = 60


def catches(membership_type):
    class Faulty(MembershipMachine):
        pass

    Faulty.membership_type = membership_type
    try:
        run_machine(Faulty, examples=FAULT_EXAMPLES)
    except Exception as exc:
        return any("AssertionError" in repr(one) for one in flatten(exc))
    return False


def flatten(exc):
    yield exc
    for one in getattr(exc, "exceptions", ()):
        yield from flatten(one)


def rejects(membership_type, history):
    class Faulty(MembershipMachine):
        pass

    Faulty.membership_type = membership_type
    machine = Faulty()
    machine.start(size=5, first=1)
    history(machine)
    try:
        machine.heal()
    except AssertionError:
        return True
    return False


def partition_for_a_minute(machine):
    machine.partition(sides=[0, 0, 1, 1, 1, 0, 0, 0])
    machine.wait(step=60_000.0)


def replace_a_paused_host(machine):
    machine.replace(index=1, dead=False)


def test_histories_hold():
    run_machine(MembershipMachine, examples=EXAMPLES)


def test_checker_catches_a_host_that_refutes_nothing():
    class NeverRefutes(Membership):
        def apply_self_update(self, update):
            pass

    assert catches(NeverRefutes)


def test_checker_catches_death_without_time_to_refute():
    class SkipsSuspicion(Membership):
        def suspect(self, row, accusers):
            self.declare_dead(row)

    assert catches(SkipsSuspicion)


def test_checker_catches_a_table_that_is_never_compared():
    class SkipsSync(Membership):
        def receive(self, sender, message):
            if type(message).__name__ != "MemberSync" or not self.joined:
                super().receive(sender, message)

    assert rejects(SkipsSync, partition_for_a_minute)
    assert not rejects(Membership, partition_for_a_minute)


def test_checker_catches_a_predecessor_that_never_yields():
    class NeverYields(Membership):
        def apply_self_update(self, update):
            if update.incarnation > self.own.incarnation:
                self.own.incarnation = update.incarnation + 1
            else:
                super().apply_self_update(update)

    assert rejects(NeverYields, replace_a_paused_host)
    assert not rejects(Membership, replace_a_paused_host)
