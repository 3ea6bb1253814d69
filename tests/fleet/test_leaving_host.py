"""Tests of hosts that leave a fleet."""

from unittest.mock import patch

from standins.simulated_fleet import FleetPlan, SimulatedFleet
from tests.functions import function_tests

load_tests = function_tests(__name__)
SPLIT_CASES = True


def test_leaving_host_moves_no_request(loop):
    plan = FleetPlan(hosts=2, upstreams=4, services=("desk",))
    fleet = SimulatedFleet(plan=plan, loop=loop)
    host = fleet.hosts[0].fleet_host
    with patch.object(host, "_move_policy", return_value=True):
        assert host.should_move(None)
        host.leave()
        assert not host.should_move(None)
