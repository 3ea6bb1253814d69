"""State machine over real orders and real state with injected failures."""

import argparse
import itertools

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mangohatch.orders.record import OrderState
from mangohatch.orders.service import OrderService
from mangohatch.store.operations import EARLIER_OPERATIONS, OPERATION_ID
from standins.virtual_loop import VirtualLoop
from tests.orders.fleet import SERVICE, OrderHosts
from tests.peer.membership.machine import run_machine

__all__ = ["OrderMachine"]

LEAST = 2
MOST = 5
STEPS_MS = (20.0, 300.0, 3000.0, 9000.0)
HEAL_MS = 60_000.0
TEXTS = (
    f"set deadline_ms of {SERVICE} to 5000",
    f"set deadline_ms of {SERVICE} to 7000",
    f"set max_queue_wait_ms of {SERVICE} to 9",
    f"drain upstream u1 of {SERVICE}",
    f"undrain upstream u1 of {SERVICE}",
    f"remove upstream u3 of {SERVICE}",
    f"set deadline_ms of {SERVICE} to 0",
)

hosts_drawn = st.integers(0, MOST - 1)
texts_drawn = st.sampled_from(TEXTS)


class OrderMachine(RuleBasedStateMachine):
    """Submits orders to several hosts under failures of store, network and hosts."""

    order_type = OrderService

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.numbers = itertools.count(LEAST + 1)
        self.tasks = []
        self.accepted = 0
        self.violations = []
        self.fleet = None

    @initialize(first=st.integers(0, 2**32))
    def start(self, first):
        machine = self

        class Observed(self.order_type):
            def accept(self, record):
                machine.check_accepted(record)
                super().accept(record)

        self.fleet = OrderHosts(
            loop=self.loop, size=LEAST + 1, seed=first, order_type=Observed
        )
        self.faults = self.fleet.hosts.objects.faults

    def pick(self, index):
        ids = sorted(self.fleet.orders)
        return ids[index % len(ids)]

    @rule(step=st.sampled_from(STEPS_MS))
    def wait(self, step):
        self.loop.run_for(step)

    @rule(host=hosts_drawn, text=texts_drawn)
    def order(self, host, text):
        self.tasks.append(self.fleet.start(self.pick(host), text))
        self.loop.run_for(5.0)

    @rule(one=hosts_drawn, other=hosts_drawn, first=texts_drawn, second=texts_drawn)
    def race(self, one, other, first, second):
        self.tasks.append(self.fleet.start(self.pick(one), first))
        self.tasks.append(self.fleet.start(self.pick(other), second))
        self.loop.run_for(1000.0)

    @rule(host=hosts_drawn, text=texts_drawn, settled=st.booleans())
    def order_whose_answer_is_lost(self, host, text, settled):
        self.faults.lost_answers = 1 if settled else 8
        self.tasks.append(self.fleet.start(self.pick(host), text))
        self.loop.run_for(2500.0)

    @rule(host=hosts_drawn, other=hosts_drawn, text=texts_drawn)
    def order_while_a_host_stops_after_its_vote(self, host, other, text):
        self.tasks.append(self.fleet.start(self.pick(host), text))
        before = self.fleet.hosts.objects.revision
        for _ in range(200):
            self.loop.run_for(1.0)
            if self.fleet.hosts.objects.revision != before:
                break
        self.loop.pause(self.pick(other))
        self.loop.run_for(500.0)

    @rule(host=hosts_drawn)
    def pause(self, host):
        self.loop.pause(self.pick(host))

    @rule()
    def resume(self):
        for host_id in self.fleet.orders:
            self.loop.resume(host_id)

    @precondition(lambda self: len(self.fleet.orders) > LEAST)
    @rule(host=hosts_drawn)
    def kill(self, host):
        self.fleet.kill(self.pick(host))

    @precondition(lambda self: len(self.fleet.orders) < MOST)
    @rule()
    def join(self):
        self.fleet.add(f"e{next(self.numbers) + 1}")

    @rule(host=hosts_drawn)
    def cut_off(self, host):
        self.fleet.hosts.network.partition({self.pick(host): 1})

    @rule()
    def reconnect(self):
        self.fleet.hosts.network.partition({})

    @rule(loss=st.sampled_from((0.0, 0.2)), duplicates=st.sampled_from((0.0, 0.2)))
    def disturb(self, loss, duplicates):
        self.fleet.hosts.network.faults.loss = loss
        self.fleet.hosts.network.faults.duplicates = duplicates

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count):
        self.faults.lost_answers = count

    @rule(count=st.integers(1, 3))
    def lose_writes(self, count):
        self.faults.refused_writes = count

    @rule(on=st.booleans())
    def outage(self, on):
        self.faults.outage = on

    @rule(on=st.booleans())
    def silence_watches(self, on):
        self.faults.silent_watches = on

    @rule(back=st.integers(1, 3))
    def serve_stale_reads(self, back):
        self.faults.stale_revision = max(self.fleet.hosts.objects.revision - back, 1)

    @rule()
    def serve_fresh_reads(self):
        self.faults.stale_revision = None

    def check_accepted(self, record):
        in_force = self.fleet.hosts.active_revisions(SERVICE)
        behind = {
            host for host, revision in in_force.items() if revision < record.revision
        }
        if behind:
            self.violations.append(f"accepted, but not in force on {behind}")
        self.accepted = max(self.accepted, record.revision)

    @invariant()
    def accepted_never_reverts(self):
        if self.fleet is None:
            return
        assert not self.violations, self.violations
        for host_id, revision in self.fleet.hosts.active_revisions(SERVICE).items():
            if self.fleet.hosts.live[host_id].state.ready():
                assert revision >= self.accepted, f"{host_id} is back at {revision}"

    def writes(self):
        return [
            change.item.value
            for change in self.fleet.hosts.objects.changes
            if change.item is not None and change.item.kind == "service"
        ]

    def check_writes(self):
        written = self.writes()
        ids = [value[OPERATION_ID] for value in written]
        assert len(ids) == len(set(ids)), "an order was written twice"
        for before, after in itertools.pairwise(written):
            base = after[EARLIER_OPERATIONS][0]
            assert base == before[OPERATION_ID], "a write replaced an unseen change"
        for record in self.records():
            if record.state == OrderState.REFUSED:
                assert record.order_id not in ids, "refused, but written"

    def records(self):
        return [
            record
            for orders in self.fleet.orders.values()
            for record in orders.records()
        ]

    def teardown(self):
        try:
            if self.fleet is not None:
                self.heal()
                self.accepted_never_reverts()
                self.check_writes()
                for record in self.records():
                    assert record.final, f"not final after recovery: {record}"
                for task in self.tasks:
                    if task.done() and task.exception():
                        raise task.exception()
        finally:
            self.loop.shutdown()

    def heal(self):
        self.resume()
        self.fleet.hosts.network.partition({})
        self.fleet.hosts.network.faults.loss = 0.0
        self.faults.outage = False
        self.faults.silent_watches = False
        self.faults.stale_revision = None
        self.faults.lost_answers = self.faults.refused_writes = 0
        self.loop.run_for(HEAL_MS)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--examples", type=int, default=300)
    arguments = parser.parse_args()
    run_machine(
        OrderMachine, examples=arguments.examples, steps=30, seed_number=arguments.seed
    )
    print(f"{arguments.examples} histories of orders hold")


if __name__ == "__main__":
    main()
