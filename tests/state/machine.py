"""A state machine over the real state and claims with injected failures."""

import argparse
import itertools

from hypothesis import HealthCheck, Phase, seed, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from mangohatch.claims import Answer, StoreClaimRegistry
from mangohatch.errors import Outcome, RequestError, StoreConflict, StoreError
from mangohatch.platform.operations import put_resolved, with_operation
from mangohatch.state import StateService, service_value
from standins.state_hosts import StateHosts
from standins.virtual_loop import VirtualLoop
from tests.fixtures import make_service
from tests.state.history import Copy, History, HistoryViolation

__all__ = ["StateMachine", "run_machine"]

SERVICE = "booking-desk"
KEYS = ("k1", "k2", "k3")
DEADLINE_MS = 1500.0
STEP_MS = (20.0, 200.0, 1500.0, 6000.0)
HEAL_MS = 25_000.0
HOSTS_LEAST = 2
HOSTS_MOST = 6

hosts_drawn = st.integers(0, HOSTS_MOST - 1)
# None stands for a host that never tells how the request ended.
outcomes_drawn = st.sampled_from((*Outcome, None))


class StateMachine(RuleBasedStateMachine):
    """Drives hosts through failures, orders and keyed requests."""

    state_type = StateService
    claims_type = StoreClaimRegistry

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.history = History()
        self.hosts = StateHosts(
            loop=self.loop, state_type=self.state_type, claims_type=self.claims_type
        )
        self.hosts.network.observers.append(self._observe)
        self._numbers = itertools.count(1)
        self._tasks = []
        self.wins = {}

    @initialize(count=st.integers(HOSTS_LEAST, 4))
    def start(self, count):
        self.hosts.write(make_service(SERVICE))
        for _ in range(count):
            self.hosts.add(f"e{next(self._numbers)}")
        self.loop.run_for(4000.0)

    @rule(step=st.sampled_from(STEP_MS))
    def wait(self, step):
        self.loop.run_for(step)

    @rule(key=st.sampled_from(KEYS), host=hosts_drawn, outcome=outcomes_drawn)
    def request(self, key, host, outcome):
        self._request(key, self._host(host), outcome)
        self.loop.run_for(30.0)

    @rule(key=st.sampled_from(KEYS), one=hosts_drawn, other=hosts_drawn)
    def request_twice(self, key, one, other):
        self._request(key, self._host(one), Outcome.DONE)
        self._request(key, self._host(other), Outcome.DONE)
        self.loop.run_for(30.0)

    @rule(key=st.sampled_from(KEYS), one=hosts_drawn, other=hosts_drawn)
    def resend_after_the_deadline(self, key, one, other):
        self._request(key, self._host(one), None)
        self.loop.run_for(2 * DEADLINE_MS)
        self._request(key, self._host(other), Outcome.DONE)
        self.loop.run_for(30.0)

    @rule(host=hosts_drawn, upstreams=st.integers(1, 5))
    def order(self, host, upstreams):
        self._order(self._host(host), upstreams)
        self.loop.run_for(30.0)

    @rule(one=hosts_drawn, other=hosts_drawn)
    def conflicting_orders(self, one, other):
        self._order(self._host(one), 2)
        self._order(self._host(other), 3)
        self.loop.run_for(30.0)

    @rule(upstreams=st.integers(1, 5))
    def write_to_store(self, upstreams):
        self.hosts.write(make_service(SERVICE, upstreams=upstreams))

    @rule(host=hosts_drawn)
    def pause(self, host):
        self.loop.pause(self._host(host).host_id)

    @rule()
    def pause_holder(self):
        for host in self.hosts.holders():
            self.loop.pause(host.host_id)

    @rule()
    def resume(self):
        for host_id in self.hosts.live:
            self.loop.resume(host_id)

    @precondition(lambda self: len(self.hosts.live) > HOSTS_LEAST)
    @rule(host=hosts_drawn)
    def kill(self, host):
        self.hosts.kill(self._host(host).host_id)

    @precondition(lambda self: len(self.hosts.live) < HOSTS_MOST)
    @rule()
    def join(self):
        self.hosts.add(f"e{next(self._numbers)}")

    @rule(host=hosts_drawn)
    def replace(self, host):
        self.hosts.kill(self._host(host).host_id)
        self.hosts.add(f"e{next(self._numbers)}")
        self.loop.run_for(6000.0)

    @precondition(lambda self: len(self.hosts.live) < HOSTS_MOST)
    @rule()
    def join_cut_off(self):
        self.hosts.network.partition({host_id: 1 for host_id in self.hosts.live})
        self.hosts.add(f"e{next(self._numbers)}")
        self.loop.run_for(4000.0)

    @rule()
    def cut_holder_off(self):
        holders = self.hosts.holders()
        self.hosts.network.partition({host.host_id: 1 for host in holders})
        self.loop.run_for(3000.0)

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count):
        self.hosts.objects.faults.lost_answers = count

    @rule(count=st.integers(1, 3))
    def lose_writes(self, count):
        self.hosts.objects.faults.refused_writes = count

    @rule(outage=st.booleans())
    def set_outage(self, outage):
        self.hosts.objects.faults.outage = outage

    @rule(delay_ms=st.sampled_from((0.0, 100.0, 700.0)))
    def set_delay(self, delay_ms):
        self.hosts.objects.faults.delay_ms = delay_ms

    @rule(back=st.integers(0, 8))
    def roll_reads_back(self, back):
        stale = max(self.hosts.objects.revision - back, 0)
        self.hosts.objects.faults.stale_revision = stale if back else None

    @rule(silent=st.booleans())
    def set_silent_watches(self, silent):
        self.hosts.objects.faults.silent_watches = silent

    @rule(cut=st.integers(0, HOSTS_MOST))
    def partition(self, cut):
        ids = list(self.hosts.live)
        self.hosts.network.partition({host_id: 1 for host_id in ids[:cut]})

    @rule(loss=st.sampled_from((0.0, 0.3)), extra_ms=st.sampled_from((0.0, 400.0)))
    def disturb_links(self, loss, extra_ms):
        faults = self.hosts.network.faults
        faults.loss, faults.duplicates, faults.extra_delay_ms = loss, loss, extra_ms

    @invariant()
    def promises_hold(self):
        self.history.check_watchers()
        self.history.check_config(self.hosts)
        self.history.check_keys()
        for base, winners in self.wins.items():
            if len(winners) > 1:
                raise HistoryViolation("one winner a conflict", f"{base}: {winners}")

    def teardown(self):
        try:
            if self.hosts.live:
                self._heal()
                self.promises_hold()
                self._check_converged()
        finally:
            self.loop.shutdown()

    def _heal(self):
        faults = self.hosts.objects.faults
        faults.outage = faults.silent_watches = False
        faults.lost_answers = faults.refused_writes = 0
        faults.delay_ms = 0.0
        faults.stale_revision = None
        self.hosts.network.partition({})
        self.disturb_links(loss=0.0, extra_ms=0.0)
        self.resume()
        self.loop.run_for(HEAL_MS)

    def _check_converged(self):
        newest = self.hosts.objects.objects[("service", SERVICE)].revision
        if set(self.hosts.in_force(SERVICE).values()) != {newest}:
            raise HistoryViolation("hosts converge", self.hosts.in_force(SERVICE))
        if len(self.hosts.holders()) != 1:
            raise HistoryViolation(
                "one host holds the lease", len(self.hosts.holders())
            )
        for host in self.hosts.live.values():
            if host.claims.results.pending:
                raise HistoryViolation("results land", host.host_id)

    def _host(self, number):
        hosts = list(self.hosts.live.values())
        return hosts[number % len(hosts)]

    def _observe(self, sender, message):
        lease = self.hosts.objects.objects.get(("lease", "config-watch"))
        self.history.note_push(message, lease)

    def _request(self, key, host, outcome):
        copy = Copy(key=key, host=host.host_id)
        self.history.copies.append(copy)
        self.loop.spawn(host.host_id, self._run_copy(copy, host, outcome))

    async def _run_copy(self, copy, host, outcome):
        deadline_ms = self.loop.time() * 1000.0 + DEADLINE_MS
        try:
            result = await host.claims.begin(
                service=SERVICE,
                key=copy.key,
                request_id=copy.host,
                deadline_ms=deadline_ms,
            )
        except RequestError as exc:
            copy.told = exc.outcome.value
            return
        if isinstance(result, Answer):
            copy.answer = result
            return
        if outcome is Outcome.NOT_RUN or self.loop.time() * 1000.0 >= deadline_ms:
            await result.finish(Outcome.NOT_RUN, None)
            copy.told = Outcome.NOT_RUN.value
            return
        copy.sent = True
        if outcome is None:
            return
        answer = Answer(status=200, headers=(), body=f"{next(self._numbers)}".encode())
        if outcome is Outcome.DONE:
            copy.answer = answer
        await result.finish(outcome, copy.answer)

    def _order(self, host, upstreams):
        base = self.hosts.objects.objects.get(("service", SERVICE))
        self.loop.spawn(host.host_id, self._write_order(host, base, upstreams))

    async def _write_order(self, host, base, upstreams):
        operation_id = f"order-{next(self._numbers)}"
        value = service_value(make_service(SERVICE, upstreams=upstreams))
        try:
            stored = await put_resolved(
                self.hosts.store.client("orders"),
                kind="service",
                name=SERVICE,
                value=with_operation(value, operation_id=operation_id, base=base),
                expected_revision=base.revision,
                rng=self.hosts.rng,
            )
        except (StoreConflict, StoreError):
            return
        self.wins.setdefault(base.revision, set()).add(operation_id)
        host.state.publish(stored)


def run_machine(machine, *, examples, steps=30, seed_number=None):
    """
    Run a machine without shrinking of failures.

    :param machine: the machine
    :param examples: number of histories
    :param steps: steps of one history
    :param seed_number: seed; fixed histories when None
    """
    factory = machine if seed_number is None else seed(seed_number)(machine)
    run_state_machine_as_test(
        factory,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=seed_number is None,
            database=None,
            deadline=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--examples", type=int, default=500)
    options = parser.parse_args()
    run_machine(
        StateMachine, examples=options.examples, steps=60, seed_number=options.seed
    )
    print(f"{options.examples} histories of seed {options.seed} hold")
