"""Tests of whole fleets in virtual time: lateness and traffic of each host."""

from standins.simulated_fleet import FleetPlan, HostLimits, SimulatedFleet, Usage
from standins.virtual_loop import VirtualLoop
from tests.functions import function_tests

load_tests = function_tests(__name__)
SPLIT_CASES = True

MAX_APPLY_MS = 2_000.0  # the shortest bound of the users' sites
SETTLE_MS = 4_000.0  # load probes are most frequent for 3 s after the start
REST_MS = 12_000.0  # until messages carry no more news of the start
MEASURE_MS = 2_000.0
SIZES = (30, 100, 200)
HOSTS_PER_UPSTREAM = 2
MAX_GROWTH = 1.3  # from the smallest fleet to the largest


def test_changes_do_not_fill_links_so_that_hosts_keep_an_old_configuration(loop):
    # Sizes and rates are those of inc2: six upstreams start, then version 6 is written.
    plan = FleetPlan(hosts=136, upstreams=117, requests_per_s=3.75, limits=HostLimits())
    fleet = SimulatedFleet(plan=plan, loop=loop)
    fleet.run(SETTLE_MS)
    fleet.start_requests()
    fleet.run(500.0)
    late = {}
    for size in (4_000, 280_000):
        fleet.start_upstreams(6)
        fleet.run(60.0)
        version = fleet.change_configuration(size)
        fleet.run(MAX_APPLY_MS)
        late[size] = len(fleet.hosts_without(version))
    assert not any(late.values()), f"late hosts by bytes: {late}"


def measure_traffic(hosts):
    """Return datagrams and bytes of a host and second, at rest and under load."""
    loop = VirtualLoop()
    try:
        plan = FleetPlan(
            hosts=hosts, upstreams=hosts // HOSTS_PER_UPSTREAM, services=("desk",)
        )
        fleet = SimulatedFleet(plan=plan, loop=loop)
        fleet.run(REST_MS)
        at_rest = Usage.total(fleet.measure(MEASURE_MS).values())
        fleet.start_requests()
        fleet.run(500.0)
        under_load = Usage.total(fleet.measure(MEASURE_MS).values())
    finally:
        loop.shutdown()
    host_seconds = hosts * MEASURE_MS / 1_000.0
    return {
        "datagrams at rest": at_rest.datagrams / host_seconds,
        "bytes at rest": at_rest.bytes / host_seconds,
        "datagrams under load": under_load.datagrams / host_seconds,
        "bytes under load": under_load.bytes / host_seconds,
    }


def test_traffic_of_a_host_does_not_grow_with_the_fleet():
    smallest, *larger = (measure_traffic(hosts) for hosts in SIZES)
    grown = {
        name: (smallest[name], *(figures[name] for figures in larger))
        for name in smallest
        if any(figures[name] > MAX_GROWTH * smallest[name] for figures in larger)
    }
    assert not grown, f"by {SIZES} hosts: {grown}"
