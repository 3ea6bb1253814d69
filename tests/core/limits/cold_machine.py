"""State machine over the permits of a cold upstream with injected failures."""

import argparse
import itertools
import random

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mangohatch.core.limits import (
    ColdStates,
    LimitOwnership,
    PermitTable,
)
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import Tables
from mangohatch.core.timers import Timers
from mangohatch.fleet.decisions import SHARE_RISE_MS
from standins.memory_bus import MemoryNetwork
from standins.virtual_loop import LoopClock, VirtualLoop
from tests.core.limits.cold_service import (
    BOUNDS,
    SERVICE,
    UPSTREAM,
    WARM_UP,
    make_cold_service,
)
from tests.fleet.soak import silence_logs
from tests.peer.membership.machine import run_machine

__all__ = ["ColdMachine"]

LEAST = 2
MOST = 6
PER_S = WARM_UP.per_s
WINDOW_MS = 1_000.0
COLD_MS = 3_000.0
TICK_MS = 20.0
STATED_EVERY_MS = 200.0
STEPS_MS = (50.0, 300.0, 1_000.0, 3_000.0)
PARTED_MS = (100.0, 3_000.0, 6_000.0)  # failures are detected after 2 s
EXPECTED = 3  # members of which the settings of a host tell
MIN_USED = 0.9

hosts_drawn = st.integers(0, MOST - 1)


class HostTimers(Timers):
    """Timers of a process, which end with it."""

    def __init__(self, loop):
        self.loop = loop
        self.alive = True

    def call_later(self, delay_ms, function):
        self.loop.call_later(
            max(delay_ms, 0.0) / 1000.0, lambda: function() if self.alive else None
        )


class ColdHost:
    """A process that sends a request whenever it may and one waits."""

    def __init__(self, machine, host_id):
        loop = machine.loop
        self.machine = machine
        self.clock = LoopClock(loop=loop)
        self.waiting = 0
        self.timers = HostTimers(loop)
        self.bus = machine.network.join(host_id)
        self.subset = SubsetTable(host_id=host_id)
        self.subset.set_upstreams(SERVICE, [UPSTREAM])
        self.tables = Tables()
        self.tables.apply(make_cold_service(), revision=1)
        self.row = self.tables.services[SERVICE].upstreams[UPSTREAM]
        self.ownership = LimitOwnership(
            clock=self.clock, bus=self.bus, expected=EXPECTED, rise_ms=SHARE_RISE_MS
        )
        self.cold = machine.states_type(
            clock=self.clock,
            tables=self.tables,
            subset=self.subset,
            ownership=self.ownership,
            bounds=BOUNDS,
        )
        self.permits = PermitTable(
            clock=self.clock,
            tables=self.tables,
            subset=self.subset,
            bus=self.bus,
            timers=self.timers,
            cold=self.cold,
        )
        self.permits.on_permit = lambda service: self.serve()
        self.permits.count_waiting = lambda service: self.waiting
        self.stated_ms = self.clock.now_ms()
        loop.call_soon(self.tick, context=loop.context(host_id))

    def tick(self):
        if not self.timers.alive:
            return
        self.subset.set_members(self.bus.members())
        now_ms = self.clock.now_ms()
        # A probe or a report tells the state some time after the process has started.
        if now_ms - self.stated_ms >= STATED_EVERY_MS:
            self.stated_ms = now_ms
            self.cold.observe(self.row, COLD_MS, seen_ms=now_ms)
        self.permits.tick()
        self.serve()
        if self.waiting:
            self.permits.request(SERVICE)
        self.timers.call_later(TICK_MS, self.tick)

    def serve(self):
        self.permits.detect_pause()
        while self.waiting and self.permits.may_send(self.row):
            self.permits.take(self.row)
            self.waiting -= 1
            self.machine.sent_ms.append(self.clock.now_ms())


class ColdMachine(RuleBasedStateMachine):
    """Joins, kills, restarts, pauses and parts hosts that want to send all the time."""

    states_type = ColdStates

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.numbers = itertools.count()
        self.hosts = {}
        self.sent_ms = []
        self.checked = 0

    @initialize(first=st.integers(0, 2**32), size=st.integers(1, MOST - 1))
    def start(self, first, size):
        self.network = MemoryNetwork(loop=self.loop, rng=random.Random(first))
        for _ in range(size):
            self.join()

    def pick(self, index):
        return sorted(self.hosts)[index % len(self.hosts)]

    def owner(self):
        return next((name for name, host in self.hosts.items() if self.owns(host)), "")

    def owns(self, host):
        return host.permits.broker.owns(host.row)

    @rule(step=st.sampled_from(STEPS_MS))
    def wait(self, step):
        self.loop.run_for(step)

    @rule(host=hosts_drawn, count=st.sampled_from((0, 1, 40)))
    def need(self, host, count):
        self.hosts[self.pick(host)].waiting = count

    @rule()
    def all_need(self):
        for host in self.hosts.values():
            host.waiting = 1_000

    @precondition(lambda self: len(self.hosts) < MOST)
    @rule()
    def join(self):
        name = f"e{next(self.numbers)}"
        self.hosts[name] = ColdHost(self, name)
        self.hosts[name].waiting = 1_000

    @precondition(lambda self: len(self.hosts) > LEAST)
    @rule(host=hosts_drawn, owner=st.booleans())
    def kill(self, host, owner):
        name = (owner and self.owner()) or self.pick(host)
        self.hosts.pop(name).timers.alive = False
        self.loop.kill(name)

    @rule(host=hosts_drawn, owner=st.booleans())
    def restart(self, host, owner):
        name = (owner and self.owner()) or self.pick(host)
        self.loop.resume(name)
        self.hosts[name].timers.alive = False
        self.hosts[name] = ColdHost(self, name)
        self.hosts[name].waiting = 1_000

    @rule(host=hosts_drawn, owner=st.booleans(), step=st.sampled_from(STEPS_MS))
    def pause(self, host, owner, step):
        name = (owner and self.owner()) or self.pick(host)
        self.loop.pause(name)
        self.loop.run_for(step)

    @rule()
    def resume(self):
        for name in self.hosts:
            self.loop.resume(name)

    @rule(
        parts=st.integers(1, 4), turn=st.integers(0, 3), step=st.sampled_from(PARTED_MS)
    )
    def partition(self, parts, turn, step):
        self.network.partition(
            {name: (at + turn) % parts for at, name in enumerate(sorted(self.hosts))}
        )
        self.loop.run_for(step)

    @rule(
        loss=st.sampled_from((0.0, 0.3)),
        duplicates=st.sampled_from((0.0, 0.5, 1.0)),
        delay=st.sampled_from((0.0, 80.0, 400.0, 3_000.0)),
    )
    def disturb(self, loss, duplicates, delay):
        faults = self.network.faults
        faults.loss, faults.duplicates, faults.extra_delay_ms = loss, duplicates, delay

    @invariant()
    def no_window_exceeds_the_limit(self):
        allowed = PER_S * BOUNDS.over + BOUNDS.slack
        times = self.sent_ms
        for last in range(self.checked, len(times)):
            first_ms = times[last] - WINDOW_MS
            count = sum(at_ms > first_ms for at_ms in times[max(0, last - 99) : last])
            assert count + 1 <= allowed, f"{count + 1} requests in a second"
        self.checked = len(times)

    def teardown(self):
        try:
            if self.hosts:
                self.heal()
        finally:
            self.loop.shutdown()

    def heal(self):
        self.resume()
        self.network.partition({})
        self.disturb(0.0, 0.0, 0.0)
        self.loop.run_for(8_000.0)
        self.no_window_exceeds_the_limit()
        for host in self.hosts.values():
            host.waiting = 0
        one = self.hosts[self.pick(0)]
        one.waiting = 1_000
        self.loop.run_for(1_000.0)
        before = len(self.sent_ms)
        self.loop.run_for(10_000.0)
        share = min(host.ownership.share() for host in self.hosts.values())
        used = (len(self.sent_ms) - before) / (PER_S * 10.0 * share)
        assert used >= MIN_USED, f"{used:.2f} of the rate used after recovery"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--examples", type=int, default=300)
    arguments = parser.parse_args()
    silence_logs()
    run_machine(
        ColdMachine, examples=arguments.examples, steps=30, seed_number=arguments.seed
    )
    print(f"{arguments.examples} histories of permits hold")


if __name__ == "__main__":
    main()
