"""Tests of the settings, the metrics and the life cycle of hedges on a host."""

from dataclasses import replace

from standins.simulated_fleet import FleetPlan, SimulatedFleet
from tests.functions import function_tests

load_tests = function_tests(__name__)
SPLIT_CASES = True


def make_host(loop):
    plan = FleetPlan(hosts=2, upstreams=4, services=("desk",))
    return SimulatedFleet(plan=plan, loop=loop).hosts[0].fleet_host


def find_part(host):
    return next(part for part in host.parts if part.name == "hedging")


def test_hedges_are_off_and_without_metrics_by_default(loop):
    part = find_part(make_host(loop))
    assert not part.hedges.enabled
    assert not [*part.samples()]


def test_changed_settings_switch_hedges_on_and_off(loop):
    host = make_host(loop)
    part = find_part(host)
    for ratio in (0.05, 0.0):
        part.reload(
            replace(host.cfg, bounds=replace(host.cfg.bounds, hedge_ratio=ratio))
        )
        assert part.hedges.enabled == (ratio > 0)
    part.hedges.sent = 3
    names = {sample.name for sample in part.samples()}
    assert names == {
        "mangohatch_hedges_sent",
        "mangohatch_hedges_won",
        "mangohatch_hedges_refused",
    }


def test_leaving_host_sends_no_hedge(loop):
    host = make_host(loop)
    host.leave()
    assert find_part(host).hedges.leaving
