"""Tests of fleets some of whose hosts show a wrong time of day."""

import random

from standins.simulated_fleet import FleetPlan, SimulatedFleet
from standins.simulated_fleet.requests import SimulatedRequest
from standins.virtual_loop import VirtualLoop
from tests.functions import function_tests

load_tests = function_tests(__name__)
SPLIT_CASES = True

STEP_MS = 2_400_000.0
STEPPED_SHARE = 0.3
SETTLE_MS = 2_000.0
PERIOD_MS = 2_000.0
INTERVAL_MS = 15.0


class Site:
    """A fleet under steady traffic."""

    def __init__(self, seed):
        self.loop = VirtualLoop()
        plan = FleetPlan(hosts=13, upstreams=28, services=("desk",), seed=seed)
        self.fleet = SimulatedFleet(plan=plan, loop=self.loop)
        self.rng = random.Random(seed)
        self.requests = []
        self.fleet.run(SETTLE_MS)
        self.stepped = self.rng.sample(self.fleet.hosts, int(13 * STEPPED_SHARE))

    def send(self):
        number = len(self.requests)
        req = SimulatedRequest(
            request_id=f"r{number}",
            target=f"/orders/{number}",
            work_ms=self.rng.uniform(50.0, 150.0),
        )
        self.requests.append(req)
        self.rng.choice(self.fleet.running()).submit(req, "desk")

    def run(self, span_ms, *, step_ms):
        for host in self.stepped:
            host.step_wall_clock(step_ms)
        self.fleet.change_configuration()
        for number in range(int(span_ms / INTERVAL_MS)):
            self.loop.call_later(number * INTERVAL_MS / 1000.0, self.send)
        self.fleet.run(span_ms)


def play(seed, *, step_ms):
    """Run a fleet while the clocks of some hosts are wrong; return what it did."""
    site = Site(seed)
    for delta_ms in (step_ms, 0.0, -2.0 * step_ms, step_ms):
        site.run(PERIOD_MS, step_ms=delta_ms)
    hosts = site.fleet.hosts
    site.loop.close()
    return {
        "arrivals": [item.arrivals for item in site.fleet.live_upstreams()],
        "ends": [(req.ended_ms, req.error) for req in site.requests],
        "in force": [host.in_force_ms for host in hosts],
        "members": [host.member_ids() for host in hosts],
    }


def test_steps_of_the_time_of_day_change_no_decision():
    for seed in (1, 2):
        right = play(seed, step_ms=0.0)
        wrong = play(seed, step_ms=STEP_MS)
        assert sum(map(len, right["arrivals"])) > 300
        for name, value in right.items():
            assert wrong[name] == value, f"{name} differs with seed {seed}"
