"""Tests of the hosts that must vote on an order and confirm it."""

from mangohatch.errors import StoreUnavailable
from mangohatch.orders.required import ListedRequirement
from mangohatch.store.host_list import HostList, HostListing, ListedHost, ListedState
from standins.member_network import MemberNetwork
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

SETTLE_MS = 15_000.0


class FixedList(HostList):
    """Host list with preset names and an optional outage."""

    def __init__(self):
        self.names = ["entry-0", "entry-1", "entry-2"]
        self.outage = False
        self.complete = True
        self.reads = 0

    async def read(self):
        self.reads += 1
        if self.outage:
            raise StoreUnavailable("the host list gives no answer")
        hosts = tuple(
            ListedHost(name=name, address="10.9.9.9", state=ListedState.LIVE)
            for name in self.names
        )
        return HostListing(version=1, hosts=hosts, complete=self.complete)


@fixture
def member_network():
    network = MemberNetwork(seed=1)
    network.start_fleet(3)
    network.run(SETTLE_MS)
    return network


@fixture
def host_list():
    return FixedList()


@fixture
def requirement(member_network, host_list):
    first = member_network.running()[0]
    return ListedRequirement(membership=first.membership, host_list=host_list)


async def test_live_members_are_required_without_reading_the_list(
    requirement, host_list
):
    await requirement.refresh()
    assert requirement.required() == {"entry-0", "entry-1", "entry-2"}
    assert host_list.reads == 0


async def test_dead_member_is_required_until_the_list_drops_it(
    member_network, requirement, host_list
):
    member_network.running()[2].running = False
    member_network.run(SETTLE_MS)
    await requirement.refresh()
    assert "entry-2" in requirement.required()
    host_list.names.remove("entry-2")
    await requirement.refresh()
    assert requirement.required() == {"entry-0", "entry-1"}


async def test_dead_member_is_required_while_the_list_is_unavailable(
    member_network, requirement, host_list
):
    member_network.running()[2].running = False
    member_network.run(SETTLE_MS)
    host_list.names.remove("entry-2")
    host_list.outage = True
    await requirement.refresh()
    assert "entry-2" in requirement.required()


async def test_dead_member_is_required_while_an_entry_of_the_list_is_unreadable(
    member_network, requirement, host_list
):
    member_network.running()[2].running = False
    member_network.run(SETTLE_MS)
    host_list.names.remove("entry-2")
    host_list.complete = False
    await requirement.refresh()
    assert "entry-2" in requirement.required()


async def test_left_member_is_not_required(member_network, requirement):
    leaver = member_network.running()[2]
    leaver.membership.set_left()
    leaver.running = False
    member_network.run(SETTLE_MS)
    await requirement.refresh()
    assert requirement.required() == {"entry-0", "entry-1"}
