"""Tests of the retry budget of whole fleets, counted where upstreams are reached."""

import random

from standins.simulated_fleet import FleetPlan, SimulatedFleet
from standins.simulated_fleet.host import BOUNDS
from standins.simulated_fleet.requests import SimulatedRequest
from tests.functions import function_tests

load_tests = function_tests(__name__)
SPLIT_CASES = True

SERVICE = "desk"
SETTLE_MS = 14_000.0
RESET_AFTER_MS = 5.0
MIN_USED = 0.9  # of the budget, where the demand exceeds it
MS_PER_S = 1000.0


class FailingTraffic:
    """Requests whose first attempts break, while hosts are replaced."""

    def __init__(self, loop, *, hosts, upstreams, seed=1):
        plan = FleetPlan(
            hosts=hosts, upstreams=upstreams, services=(SERVICE,), seed=seed
        )
        self.fleet = SimulatedFleet(plan=plan, loop=loop)
        self.rng = random.Random(f"{seed}/failing")
        self.requests = []
        self.fleet.run(SETTLE_MS)
        self.start_ms = self.fleet.clock.now_ms()

    def run(self, span_ms, *, per_s, replaced_per_s=0.0, hosts=None):
        """Send requests to all hosts, or to the first ones."""
        end_ms = self.fleet.clock.now_ms() + span_ms
        step_ms = MS_PER_S / per_s
        replace_ms = MS_PER_S / replaced_per_s if replaced_per_s else span_ms * 2
        next_replace_ms = self.fleet.clock.now_ms() + replace_ms
        while self.fleet.clock.now_ms() < end_ms:
            self.fleet.loop.call_soon(self.send, hosts)
            if self.fleet.clock.now_ms() >= next_replace_ms:
                next_replace_ms += replace_ms
                self.fleet.running()[0].kill()
                self.fleet.start_host()
            self.fleet.run(step_ms)
        self.fleet.run(2_000.0)

    def send(self, hosts):
        number = len(self.requests)
        req = SimulatedRequest(
            request_id=f"r{number}",
            target=f"/orders/{number}",
            work_ms=50.0,
            reset_after_ms=RESET_AFTER_MS,
        )
        self.requests.append(req)
        self.rng.choice(self.fleet.running()[:hosts]).submit(req, SERVICE)

    def worst_window(self):
        """Return repeats in some window, and what is allowed there, by the excess."""
        repeats = sorted(at for req in self.requests for at in req.sent_ms[1:])
        arrived = [req.arrived_ms for req in self.requests]
        window_ms = BOUNDS.retry_window_ms

        def allowed(first_ms):
            counts = [
                sum(first <= at < first + window_ms for at in arrived)
                for first in (first_ms, first_ms - window_ms / 2, first_ms - window_ms)
            ]
            return BOUNDS.retry_ratio * max(counts) + BOUNDS.retry_slack

        return max(
            (
                (sum(first <= at < first + window_ms for at in repeats), allowed(first))
                for first in repeats
            ),
            key=lambda pair: pair[0] - pair[1],
        )


def test_processes_started_anew_do_not_add_to_the_retry_budget(loop):
    traffic = FailingTraffic(loop, hosts=17, upstreams=31)
    traffic.run(12_000.0, per_s=80.0, replaced_per_s=3.0)
    repeats, allowed = traffic.worst_window()
    assert repeats <= allowed, f"{repeats} repeats in a window, {allowed} allowed"


def test_one_host_may_use_nearly_all_of_the_retry_budget(loop):
    traffic = FailingTraffic(loop, hosts=13, upstreams=60)
    traffic.run(10_000.0, per_s=60.0, hosts=1)
    repeats, allowed = traffic.worst_window()
    assert repeats <= allowed, f"{repeats} repeats in a window, {allowed} allowed"
    assert repeats >= MIN_USED * allowed, f"{repeats} of {allowed} repeats"


def test_fleet_that_has_just_started_keeps_the_retry_budget(loop):
    traffic = FailingTraffic(loop, hosts=40, upstreams=60)
    for host in traffic.fleet.running():
        host.kill()
    for _ in range(40):
        traffic.fleet.start_host()
    traffic.fleet.run(300.0)
    traffic.run(9_000.0, per_s=100.0)
    repeats, allowed = traffic.worst_window()
    assert repeats <= allowed, f"{repeats} repeats in a window, {allowed} allowed"
