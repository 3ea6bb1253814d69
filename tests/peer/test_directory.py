"""Tests of the peer addresses in the object API."""

import random

from mangohatch.peer.directory import (
    DEAD_HOST_RETENTION_MS,
    HOST_KIND,
    UNKNOWN_HOST_RETENTION_MS,
    HostDirectory,
)
from standins.member_network import MemberNetwork
from standins.memory_store import MemoryStore
from standins.objects import ObjectTable
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

SETTLE_MS = 15_000.0


class SeedlessFleet:
    """A store and a fleet whose hosts have no seeds."""

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
def seedless_fleet(loop):
    return SeedlessFleet(loop=loop)


def test_hosts_without_seeds_find_each_other(seedless_fleet):
    hosts = [seedless_fleet.start(f"entry-{number}") for number in range(4)]
    for _, directory in hosts:
        seedless_fleet.refresh(directory)
    seedless_fleet.network.run(SETTLE_MS)
    names = {node.host_id for node, _ in hosts}
    assert seedless_fleet.names() == names
    assert all(node.live() == names for node, _ in hosts)


def test_successor_replaces_the_address(seedless_fleet):
    old, directory = seedless_fleet.start("entry-1")
    seedless_fleet.refresh(directory)
    old.running = False
    seedless_fleet.network.run(100.0)
    successor, directory = seedless_fleet.start("entry-1")
    seedless_fleet.refresh(directory)
    value = seedless_fleet.objects.objects[(HOST_KIND, "entry-1")].value
    assert value["peer_port"] == successor.endpoint.port


def test_stopped_host_deletes_its_address(loop, seedless_fleet):
    _, directory = seedless_fleet.start("entry-1")
    seedless_fleet.refresh(directory)
    loop.run_until_complete(directory.stop())
    assert seedless_fleet.names() == set()


def test_address_of_a_dead_host_is_deleted_after_its_retention(seedless_fleet):
    hosts = [seedless_fleet.start(f"entry-{number}") for number in range(3)]
    for _, directory in hosts:
        seedless_fleet.refresh(directory)
    seedless_fleet.network.run(SETTLE_MS)
    hosts[2][0].running = False
    seedless_fleet.network.run(SETTLE_MS)
    seedless_fleet.refresh(hosts[0][1])
    assert "entry-2" in seedless_fleet.names()
    seedless_fleet.network.clock.advance(DEAD_HOST_RETENTION_MS)
    seedless_fleet.refresh(hosts[0][1])
    assert seedless_fleet.names() == {"entry-0", "entry-1"}


def test_address_of_an_unknown_host_is_kept_for_a_day(seedless_fleet):
    _, other_directory = seedless_fleet.start("entry-9")
    seedless_fleet.refresh(other_directory)
    _, directory = seedless_fleet.start("entry-1")
    seedless_fleet.refresh(directory)
    assert "entry-9" in seedless_fleet.names()
    seedless_fleet.network.clock.advance(UNKNOWN_HOST_RETENTION_MS + 1000.0)
    seedless_fleet.refresh(directory)
    assert seedless_fleet.names() == {"entry-1"}


def test_outage_is_retried_and_host_without_peers_keeps_reading(loop, seedless_fleet):
    node, directory = seedless_fleet.start("entry-1")
    seedless_fleet.objects.faults.outage = True
    loop.run_until_complete(directory.start())
    loop.run_for(5000.0)
    seedless_fleet.objects.faults.outage = False
    loop.run_for(20_000.0)
    assert seedless_fleet.names() == {"entry-1"}
    other, second = seedless_fleet.start("entry-2")
    seedless_fleet.refresh(second)
    loop.run_for(20_000.0)
    seedless_fleet.network.run(SETTLE_MS)
    assert node.live() == {"entry-1", "entry-2"}
    loop.run_until_complete(directory.stop())
