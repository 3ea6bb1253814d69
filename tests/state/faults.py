"""Base of the state machines: the real state and claims with injected failures."""

import itertools

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mangohatch.claims.store_registry import StoreClaimRegistry
from mangohatch.state import StateService
from standins.objects import StoreFaults
from standins.state_hosts import StateHosts
from standins.virtual_loop import VirtualLoop
from tests.fixtures import make_service
from tests.state.history import History, HistoryViolation

__all__ = ["HOSTS_LEAST", "HOSTS_MOST", "SERVICE", "FaultMachine", "hosts_drawn"]

SERVICE = "booking-desk"
STEP_MS = (20.0, 200.0, 1500.0, 6000.0)
RECOVERY_MS = 25_000.0
HOSTS_LEAST = 2
HOSTS_MOST = 6

hosts_drawn = st.integers(0, HOSTS_MOST - 1)


class FaultMachine(RuleBasedStateMachine):
    """Injects failures into hosts and checks all invariants after each step."""

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

    @initialize(count=st.integers(HOSTS_LEAST, 4))
    def start(self, count):
        self.hosts.write(make_service(SERVICE))
        for _ in range(count):
            self.hosts.add(f"e{next(self._numbers)}")
        self.loop.run_for(4000.0)

    @rule(step=st.sampled_from(STEP_MS))
    def wait(self, step):
        self.loop.run_for(step)

    @rule(host=hosts_drawn)
    def pause(self, host):
        self.loop.pause(self._host(host).host_id)

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

    @precondition(lambda self: len(self.hosts.live) > HOSTS_LEAST)
    @rule(host=hosts_drawn)
    def leave(self, host):
        self._leave(self._host(host))

    def _leave(self, chosen):
        if self.loop.is_stopped(chosen.host_id):
            return
        store_faults = self.hosts.objects.faults != StoreFaults()
        pending_results = self.hosts.stop(chosen.host_id)
        if pending_results and not store_faults:
            raise HistoryViolation(
                "results land",
                f"{chosen.host_id} left with pending results: {pending_results}",
            )

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

    @rule()
    def end_all_faults(self):
        self._end_faults()
        self.loop.run_for(6000.0)

    @invariant()
    def promises_hold(self):
        self.history.check_watchers()
        self.history.check_config(self.hosts)
        self.history.check_keys()

    def teardown(self):
        try:
            if self.hosts.live:
                self._end_faults()
                self.loop.run_for(RECOVERY_MS)
                self.promises_hold()
                self._check_converged()
        finally:
            self.loop.shutdown()

    def _end_faults(self):
        faults = self.hosts.objects.faults
        faults.outage = faults.silent_watches = False
        faults.lost_answers = faults.refused_writes = 0
        faults.delay_ms = 0.0
        faults.stale_revision = None
        self.hosts.host_table.outage = False
        self.hosts.network.partition({})
        self.disturb_links(loss=0.0, extra_ms=0.0)
        self.resume()

    def _check_converged(self):
        newest = self.hosts.objects.objects[("service", SERVICE)].revision
        if set(self.hosts.active_revisions(SERVICE).values()) != {newest}:
            raise HistoryViolation(
                "hosts converge", self.hosts.active_revisions(SERVICE)
            )
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
        self.history.record_push(message, lease)
