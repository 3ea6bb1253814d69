"""Tests of fleets whose upstreams leave or ask for pauses."""

from standins.simulated_fleet import FleetPlan, SignPlan, SignTraffic, SimulatedFleet
from tests.fleet import sign_soak
from tests.functions import function_tests

load_tests = function_tests(__name__)
SPLIT_CASES = True

SETTLE_MS = 4_000.0
RUN_MS = 9_000.0
SOAK_SEEDS = (1, 4)
SOAK_RUN_MS = 6_000.0


def play(loop, *, hosts=17, upstreams=31, seed=1, span_ms=RUN_MS, **traffic):
    """Run a fleet whose upstreams give signs, and return the verdict."""
    plan = FleetPlan(hosts=hosts, upstreams=upstreams, services=("desk",), seed=seed)
    fleet = SimulatedFleet(plan=plan, loop=loop)
    fleet.run(SETTLE_MS)
    return SignTraffic(fleet=fleet, plan=SignPlan(seed=seed, **traffic)).run(span_ms)


def test_leaving_upstreams_get_no_request_whatever_the_directory_says(loop):
    verdict = play(loop, requests_per_s=150.0, leaving_per_s=0.6, lapses_per_s=0.5)
    assert verdict.left >= 2, str(verdict)
    assert verdict.to_leaving == 0, str(verdict)
    assert verdict.failed <= verdict.requests / 100, str(verdict)


def test_leaving_upstreams_get_no_request_in_a_store_outage_and_a_burst(loop):
    verdict = play(
        loop,
        requests_per_s=120.0,
        leaving_per_s=0.6,
        lapses_per_s=0.5,
        hosts_replaced_per_s=0.3,
        store_away=True,
        burst=3.0,
    )
    assert verdict.to_leaving == 0, str(verdict)


def test_pauses_are_obeyed_by_each_host(loop):
    verdict = play(loop, requests_per_s=150.0, paused_share=0.33, pause_ms=1_000.0)
    assert verdict.pauses > 20, str(verdict)
    assert verdict.in_pauses == 0, str(verdict)


def test_pauses_are_obeyed_in_a_burst_beside_replaced_hosts(loop):
    verdict = play(
        loop,
        requests_per_s=150.0,
        paused_share=0.33,
        pause_ms=2_000.0,
        trouble_ms=2_000.0,
        hosts_replaced_per_s=0.5,
        burst=3.0,
    )
    assert verdict.in_pauses == 0, str(verdict)


def test_signs_are_obeyed_by_a_single_host(loop):
    verdict = play(
        loop,
        hosts=1,
        upstreams=6,
        requests_per_s=25.0,
        leaving_per_s=0.2,
        paused_share=0.33,
        pause_ms=2_000.0,
        trouble_ms=2_000.0,
    )
    assert not sign_soak.find_faults(verdict), str(verdict)


def test_requests_are_refused_early_while_all_upstreams_pause(loop):
    plan = FleetPlan(hosts=13, upstreams=8, services=("desk",), seed=3)
    fleet = SimulatedFleet(plan=plan, loop=loop)
    fleet.run(SETTLE_MS)
    for upstream in fleet.live_upstreams():
        upstream.pauses_until_ms = fleet.clock.now_ms() + 2 * RUN_MS
    traffic = SignTraffic(fleet=fleet, plan=SignPlan(requests_per_s=40.0, seed=3))
    verdict = traffic.run(RUN_MS)
    assert verdict.failed >= verdict.requests * 0.9, str(verdict)
    assert verdict.in_pauses == 0, str(verdict)
    assert verdict.late_refusals == 0, str(verdict)


def test_signs_are_obeyed_under_troubles_chosen_by_seed():
    faults = {
        seed: sign_soak.find_faults(
            sign_soak.play(*sign_soak.draw(seed), span_ms=SOAK_RUN_MS)
        )
        for seed in SOAK_SEEDS
    }
    assert not any(faults.values()), f"faults by seed: {faults}"
