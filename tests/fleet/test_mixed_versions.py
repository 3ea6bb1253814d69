"""
Tests of fleets with hosts of a released version and of today, in virtual time.

The older hosts run today's code behind a filter: they neither send nor receive kinds
and fields that the release does not have.
"""

import copy

from standins.simulated_fleet import FleetPlan, SimulatedFleet
from tests.functions import function_tests
from tests.peer.older_host import make_older, reduce_frame
from tests.peer.released_frames import list_releases

load_tests = function_tests(__name__)
SPLIT_CASES = True

HOSTS = 13
MAX_APPLY_MS = 2_000.0  # the shortest bound of the users' sites
SETTLE_MS = 4_000.0
JOIN_MS = 1_500.0
# What a version before fe11be1 might have lacked, so that the filter is shown to work
# while today's code has no kind and field that fe11be1 does not know.
LATER_KINDS = ("LeavingNotice", "PauseNotice", "QuarantineNotice")
LATER_FIELDS = (("LoadSample", "8"), ("LoadSample", "9"), ("LoadSample", "10"))


def find_release(name):
    return next(item for item in list_releases() if item.name == name)


def make_earlier_release():
    release = copy.deepcopy(find_release("fe11be1"))
    for kind in LATER_KINDS:
        del release.frames[kind]
    for struct, number in LATER_FIELDS:
        del release.fields[struct][number]
    return release


def start_fleet(loop, release):
    """Start a fleet a third of whose hosts are of a release."""
    plan = FleetPlan(hosts=HOSTS, upstreams=2 * HOSTS)
    fleet = SimulatedFleet(plan=plan, loop=loop)
    older = fleet.hosts[::3]
    for host in older:
        make_older(host, release)
    fleet.run(SETTLE_MS)
    return fleet, older


def expect_whole(fleet):
    """Check that all hosts agree, apply changes, and understand what they receive."""
    assert fleet.members_agree()
    version = fleet.change_configuration()
    fleet.run(MAX_APPLY_MS)
    assert not fleet.hosts_without(version)
    for host in fleet.running():
        bus = host.fleet_host.bus
        assert not bus.counters.handler_failures, host.host_id
        assert not bus.counters.dropped["malformed"], host.host_id
        assert not host.fleet_host._guard.failures, host.host_id


def test_filter_leaves_frames_of_the_release_as_they_are():
    release = find_release("fe11be1")
    for kind, frame in release.frames.items():
        assert reduce_frame(frame, release) == frame, kind


def test_mixed_fleet_serves_and_follows_changes(loop):
    fleet, _ = start_fleet(loop, find_release("fe11be1"))
    fleet.start_requests()
    fleet.run(SETTLE_MS)
    expect_whole(fleet)
    assert fleet.requests > 0
    assert not sum(host.refused for host in fleet.running())


def test_hosts_are_replaced_one_by_one_while_requests_are_served(loop):
    fleet, older = start_fleet(loop, find_release("fe11be1"))
    fleet.start_requests()
    for host in older:
        host.kill()
        fleet.start_host()
        fleet.run(JOIN_MS)
        running = fleet.running()
        before = sum(item.granted for item in running)
        fleet.run(1_000.0)
        assert sum(item.granted for item in running) > before
    fleet.run(SETTLE_MS)
    expect_whole(fleet)
    assert len(fleet.running()) == HOSTS


def test_fleet_with_hosts_that_lack_kinds_and_fields_is_whole(loop):
    plan = FleetPlan(hosts=HOSTS, upstreams=2 * HOSTS)
    fleet = SimulatedFleet(plan=plan, loop=loop)
    release = make_earlier_release()
    dropped = [make_older(host, release) for host in fleet.hosts[::3]]
    fleet.run(SETTLE_MS)
    fleet.start_requests()
    fleet.live_upstreams()[0].leaving = True
    fleet.run(SETTLE_MS)
    expect_whole(fleet)
    assert sum(counts.get("LeavingNotice", 0) for counts in dropped) > 0
