"""Tests of the ownership of limits that hold for all hosts together."""

from mangohatch.core.limits.ownership import SETTLE_MS, LimitOwnership
from mangohatch.peer.bus import MemberView
from tests.functions import function_tests

load_tests = function_tests(__name__)

NAMES = [f"limit-{number}" for number in range(40)]


class FixedBus:
    """A bus whose members a test sets."""

    def __init__(self, host_id, hosts, leaving=()):
        self.host_id = host_id
        self.set(hosts, leaving)

    def set(self, hosts, leaving=()):
        self.listed = [
            MemberView(host_id=host, incarnation=1, zone="z", leaving=host in leaving)
            for host in hosts
        ]

    def members(self):
        return self.listed


def test_hosts_with_equal_member_lists_agree_on_one_owner(clock):
    hosts = ["a", "b", "c", "d"]
    views = [LimitOwnership(clock=clock, bus=FixedBus(host, hosts)) for host in hosts]
    for name in NAMES:
        assert sum(view.owns(name) for view in views) == 1
        assert len({view.owner(name) for view in views}) == 1


def test_member_that_leaves_owns_nothing_and_the_others_keep_theirs(clock):
    bus = FixedBus("a", ["a", "b", "c", "d"])
    view = LimitOwnership(clock=clock, bus=bus)
    before = {name: view.owner(name) for name in NAMES}
    bus.set(["a", "b", "c", "d"], leaving=["b"])
    for name in NAMES:
        assert view.owner(name) != "b"
        assert before[name] in ("b", view.owner(name))


def test_without_members_there_is_no_owner(clock):
    view = LimitOwnership(clock=clock, bus=FixedBus("a", []))
    assert view.owner("limit") == ""
    assert not view.owns("limit")


def test_host_that_has_just_started_or_hears_no_peer_is_not_settled(clock):
    bus = FixedBus("a", ["a", "b"])
    view = LimitOwnership(clock=clock, bus=bus)
    clock.advance(SETTLE_MS - 1.0)
    assert not view.settled()
    clock.advance(1.0)
    assert view.settled()
    bus.set(["a"])
    assert not view.settled()


def test_part_of_a_partitioned_fleet_has_the_share_of_its_hosts(clock):
    bus = FixedBus("a", ["a", "b", "c", "d"])
    view = LimitOwnership(clock=clock, bus=bus)
    assert view.share() == 1.0
    bus.set(["a"])
    assert view.share() == 0.25
    bus.set(["a", "b", "c", "d"])
    assert view.share() == 1.0
