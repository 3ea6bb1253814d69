"""Tests of fleets whose upstreams become cold."""

from dataclasses import replace

from standins.simulated_fleet import ColdPlan, ColdTraffic, SimulatedFleet, Usage
from tests.fleet import cold_soak
from tests.fleet.cold_soak import make_plan
from tests.functions import function_tests

load_tests = function_tests(__name__)
SPLIT_CASES = True

SETTLE_MS = 4_000.0
RUN_MS = 7_000.0
MIN_USED = 0.9
SOAK_SEEDS = (4, 5)  # 1 and 13 hosts


def play(loop, *, hosts=13, upstreams=22, span_ms=RUN_MS, plan=None, **traffic):
    """Run a fleet whose upstreams return cold by zones, and return the verdict."""
    fleet = SimulatedFleet(plan=plan or make_plan(hosts, upstreams), loop=loop)
    fleet.run(SETTLE_MS)
    return ColdTraffic(fleet=fleet, plan=ColdPlan(**traffic)).run(span_ms)


def test_bound_is_broken_without_limits_for_cold_upstreams(loop):
    """The traffic of these tests exceeds the bound unless hosts limit themselves."""

    class Unlimited(ColdTraffic):
        def _judge(self, end_ms):
            self._fleet.plan = make_plan(13, 22)
            return super()._judge(end_ms)

    plan = replace(make_plan(13, 22), warm_up=None, cold=None)
    fleet = SimulatedFleet(plan=plan, loop=loop)
    fleet.run(SETTLE_MS)
    traffic = ColdPlan(requests_per_s=300.0)
    verdict = Unlimited(fleet=fleet, plan=traffic).run(3_000.0)
    assert verdict.beyond > 0, str(verdict)
    sent = Usage.total(host.port.usage for host in fleet.hosts).sent
    assert not sent["PermitRequest"], "a message of a feature that is not in use"


def test_cold_upstreams_are_used_where_the_warm_ones_are_full(loop):
    verdict = play(loop, requests_per_s=300.0, cold_ms=6_000.0, return_every_ms=RUN_MS)
    assert verdict.beyond == 0, str(verdict)
    assert verdict.used >= MIN_USED, str(verdict)
    assert verdict.least > 0.0, str(verdict)


def test_one_host_may_use_nearly_all_of_the_rate(loop):
    verdict = play(
        loop,
        requests_per_s=300.0,
        cold_ms=6_000.0,
        return_every_ms=RUN_MS,
        hosts_used=1,
    )
    assert verdict.beyond == 0, str(verdict)
    assert verdict.used >= MIN_USED, str(verdict)


def test_host_that_is_alone_uses_nearly_all_of_the_rate(loop):
    verdict = play(
        loop,
        hosts=1,
        upstreams=8,
        requests_per_s=150.0,
        cold_ms=6_000.0,
        return_every_ms=RUN_MS,
    )
    assert verdict.beyond == 0, str(verdict)
    assert verdict.used >= MIN_USED, str(verdict)


def test_warm_upstreams_with_room_take_the_load_without_refusals(loop):
    verdict = play(loop, span_ms=5_000.0, requests_per_s=100.0)
    assert verdict.beyond == 0, str(verdict)
    assert verdict.failed <= verdict.requests / 100, str(verdict)


def test_bound_is_kept_while_hosts_and_owners_are_lost_paused_and_cut_off(loop):
    verdict = play(
        loop,
        requests_per_s=300.0,
        hosts_replaced_per_s=1.0,
        hosts_paused_per_s=2.0,
        partitioned=True,
    )
    assert verdict.beyond == 0, str(verdict)


def test_short_soak_breaks_nothing():
    for seed in SOAK_SEEDS:
        verdict = cold_soak.play(*cold_soak.draw(seed), span_ms=4_000.0)
        assert not cold_soak.find_faults(verdict), f"seed {seed}: {verdict}"
