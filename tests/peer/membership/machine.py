"""Hypothesis state machine of the membership protocol with injected faults."""

import argparse
import itertools

from hypothesis import HealthCheck, Phase, seed, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from mangohatch.peer.membership import Membership
from mangohatch.timeline import EventKind
from standins.member_network import TICK_MS, MemberNetwork

__all__ = ["MembershipMachine", "run_machine"]

LEAST = 3
MOST = 8
STEPS_MS = (100.0, 700.0, 3000.0, 12_000.0)
HEAL_MS = 90_000.0
MILD_LOSS = 0.1
MILD_MS = 20_000.0
GHOST_MS = 30_000.0


class MembershipMachine(RuleBasedStateMachine):
    """Drives a fleet through loss, partitions, pauses, deaths and replacements."""

    membership_type = Membership

    def __init__(self):
        super().__init__()
        self.network = MemberNetwork(seed=1, membership_type=self.membership_type)
        self.numbers = itertools.count()

    @initialize(size=st.integers(LEAST, 5), first=st.integers(0, 2**32))
    def start(self, size, first):
        self.network.rng.seed(first)
        for _ in range(size):
            self.join()
        self.network.run(8000.0)

    def join(self):
        self.start_host(f"entry-{next(self.numbers)}")

    def start_host(self, host_id):
        """Start a host; two hosts never start in the same millisecond."""
        self.network.run(TICK_MS)
        self.network.start(host_id, seeds=3)

    def active(self):
        return [node for node in self.network.running() if not self.is_ghost(node)]

    def is_ghost(self, node):
        return any(
            other.host_id == node.host_id and other.endpoint.port > node.endpoint.port
            for other in self.network.running()
        )

    def stop(self, node):
        """End a host and what is left of its predecessors."""
        for other in self.network.running():
            if other.host_id == node.host_id:
                other.running = False

    def pick(self, index):
        nodes = self.active()
        return nodes[index % len(nodes)]

    @rule(step=st.sampled_from(STEPS_MS))
    def wait(self, step):
        self.network.run(step)

    @rule(loss=st.sampled_from((0.0, MILD_LOSS, 0.5)))
    def lose(self, loss):
        self.network.loss = loss

    @rule(sides=st.lists(st.integers(0, 1), min_size=MOST, max_size=MOST))
    def partition(self, sides):
        nodes = self.network.running()
        self.network.sides = {
            node.endpoint: side for node, side in zip(nodes, sides, strict=False)
        }

    @rule()
    def reconnect(self):
        self.network.sides = {}

    @rule(index=st.integers(0, MOST), pause=st.sampled_from((300.0, 4000.0, 25_000.0)))
    def pause(self, index, pause):
        self.pick(index).paused_until_ms = self.network.clock.now_ms() + pause

    @precondition(lambda self: len(self.active()) > LEAST)
    @rule(index=st.integers(0, MOST))
    def kill(self, index):
        self.stop(self.pick(index))

    @precondition(lambda self: len(self.active()) > LEAST)
    @rule(index=st.integers(0, MOST))
    def leave(self, index):
        node = self.pick(index)
        node.membership.set_left()
        self.stop(node)

    @precondition(lambda self: len(self.network.running()) < MOST)
    @rule()
    def add(self):
        self.join()

    @precondition(lambda self: len(self.network.running()) < MOST)
    @rule(index=st.integers(0, MOST), dead=st.booleans())
    def replace(self, index, dead):
        node = self.pick(index)
        if dead:
            self.stop(node)
        else:
            node.paused_until_ms = self.network.clock.now_ms() + GHOST_MS
        self.start_host(node.host_id)

    @rule()
    def mild_faults_kill_nobody(self):
        self.heal()
        nodes = self.active()
        before = self.count_deaths(nodes)
        self.network.loss = MILD_LOSS
        self.pick(0).paused_until_ms = self.network.clock.now_ms() + 300.0
        self.network.run(MILD_MS)
        self.network.loss = 0.0
        assert self.count_deaths(nodes) == before, "a live member was declared dead"

    def count_deaths(self, nodes):
        return sum(
            event.kind is EventKind.MEMBER_DEAD
            for node in nodes
            for event in node.recorder.events()
        )

    def heal(self):
        self.network.loss = 0.0
        self.network.sides = {}
        self.tell_addresses()
        self.network.run(HEAL_MS)
        self.check_agreement()

    def tell_addresses(self):
        """Give all addresses to all hosts, as the platform's host objects do."""
        addresses = [node.endpoint for node in self.network.running()]
        for node in self.network.running():
            node.membership.add_seeds(addresses)

    def check_agreement(self):
        nodes = self.active()
        expected = {node.host_id for node in nodes}
        for node in nodes:
            assert not node.membership.replaced, f"{node.host_id} believes itself gone"
            assert node.live() == expected, (node.host_id, node.live(), expected)
            for other in nodes:
                row = node.membership.table.rows.get(other.host_id)
                assert (
                    row is None or row.endpoint == other.endpoint
                ), "a ghost's address"
        for node in self.network.running():
            assert node in nodes or node.membership.replaced, "a ghost survives"

    def teardown(self):
        if self.network.nodes:
            self.heal()


def run_machine(machine, *, examples, steps=15, seed_number=None):
    """
    Run a state machine without shrinking of failures.

    :param machine: class of the state machine
    :param examples: number of histories
    :param steps: maximum number of steps of one history
    :param seed_number: seed of the histories; the same histories on each run if None
    """
    chosen = settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=seed_number is None,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
        print_blob=False,
    )
    factory = machine if seed_number is None else seed(seed_number)(machine)
    run_state_machine_as_test(factory, settings=chosen)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--examples", type=int, default=200)
    arguments = parser.parse_args()
    run_machine(
        MembershipMachine,
        examples=arguments.examples,
        steps=30,
        seed_number=arguments.seed,
    )
    print(f"{arguments.examples} histories of membership hold")


if __name__ == "__main__":
    main()
