"""Tests of the addresses in the object API."""

import random

from mangohatch.peer.directory import (
    FORGET_DEAD_MS,
    FORGET_UNKNOWN_MS,
    HOST_KIND,
    HostDirectory,
)
from standins.member_network import MemberNetwork
from standins.memory_store import MemoryStore
from standins.objects import ObjectTable
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

SETTLE_MS = 15_000.0


class Site:
    """A fleet whose hosts know no seeds, and a store."""

    def __init__(self, *, loop):
        self.loop = loop
        self.network = MemberNetwork(seed=1)
        self.objects = ObjectTable()
        self.store = MemoryStore(table=self.objects, rng=random.Random(1))

    def start(self, host_id):
        node = self.network.start(host_id, seeds=0)
        directory = HostDirectory(
            store=self.store,
            membership=node.membership,
            clock=self.network.clock,
            rng=random.Random(self.network.count),
        )
        return node, directory

    def refresh(self, directory):
        self.loop.run_until_complete(directory.refresh())

    def names(self):
        return {name for kind, name in self.objects.objects if kind == HOST_KIND}


@fixture
def directory_site(loop):
    return Site(loop=loop)


def test_hosts_without_seeds_find_each_other(directory_site):
    made = [directory_site.start(f"entry-{number}") for number in range(4)]
    for _, directory in made:
        directory_site.refresh(directory)
    directory_site.network.run(SETTLE_MS)
    names = {node.host_id for node, _ in made}
    assert directory_site.names() == names
    assert all(node.live() == names for node, _ in made)


def test_successor_replaces_the_address(directory_site):
    old, directory = directory_site.start("entry-1")
    directory_site.refresh(directory)
    old.running = False
    directory_site.network.run(100.0)
    successor, directory = directory_site.start("entry-1")
    directory_site.refresh(directory)
    value = directory_site.objects.objects[(HOST_KIND, "entry-1")].value
    assert value["peer_port"] == successor.endpoint.port


def test_departed_host_deletes_its_address(loop, directory_site):
    _, directory = directory_site.start("entry-1")
    directory_site.refresh(directory)
    loop.run_until_complete(directory.stop())
    assert directory_site.names() == set()


def test_address_of_a_dead_host_is_deleted_after_a_while(directory_site):
    made = [directory_site.start(f"entry-{number}") for number in range(3)]
    for _, directory in made:
        directory_site.refresh(directory)
    directory_site.network.run(SETTLE_MS)
    made[2][0].running = False
    directory_site.network.run(SETTLE_MS)
    directory_site.refresh(made[0][1])
    assert "entry-2" in directory_site.names()
    directory_site.network.clock.advance(FORGET_DEAD_MS)
    directory_site.refresh(made[0][1])
    assert directory_site.names() == {"entry-0", "entry-1"}


def test_address_of_an_unknown_host_is_kept_for_a_day(directory_site):
    _, gone = directory_site.start("entry-9")
    directory_site.refresh(gone)
    _, directory = directory_site.start("entry-1")
    directory_site.refresh(directory)
    assert "entry-9" in directory_site.names()
    directory_site.network.clock.advance(FORGET_UNKNOWN_MS + 1000.0)
    directory_site.refresh(directory)
    assert directory_site.names() == {"entry-1"}


def test_outage_is_retried_and_a_lone_host_keeps_asking(loop, directory_site):
    node, directory = directory_site.start("entry-1")
    directory_site.objects.faults.outage = True
    loop.run_until_complete(directory.start())
    loop.run_for(5000.0)
    directory_site.objects.faults.outage = False
    loop.run_for(20_000.0)
    assert directory_site.names() == {"entry-1"}
    other, second = directory_site.start("entry-2")
    directory_site.refresh(second)
    loop.run_for(20_000.0)
    directory_site.network.run(SETTLE_MS)
    assert node.live() == {"entry-1", "entry-2"}
    loop.run_until_complete(directory.stop())
