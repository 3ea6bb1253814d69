"""Tests of changes while the hosts that read the store are in trouble."""

import random

from mangohatch.ranking import rendezvous_hash
from tests.directory.fleet import Followers
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

TICK_MS = 50.0
LOSS = 0.02
SETTLING_MS = 2_000.0
READING_INTERVAL_MS = 500.0
# Bounds of the users' sites with 17 and with 136 hosts, from the acknowledgement on.
SMALL_SITE = (17, 2_000.0)
GROWN_SITE = (136, 2_500.0)


@fixture
def make_fleet(loop):
    fleets = []

    def make(count, *, seed):
        fleet = Followers(loop, count=count, tick_ms=TICK_MS)
        fleets.append(fleet)
        fleet.network.rng = random.Random(seed)
        fleet.network.loss = LOSS
        fleet.store.put("config", "main", "v1")
        fleet.store.put("upstreams", "u1", "ready")
        # The change comes at another moment between two readings with each seed.
        fleet.run(SETTLING_MS + random.Random(seed).uniform(0.0, READING_INTERVAL_MS))
        return fleet

    yield make
    for fleet in fleets:
        fleet.stop()


def silence_first_readers(fleet, count):
    readers = sorted(fleet.followers, key=rendezvous_hash)
    fleet.store.silent = set(readers[:count])


def first_reader(fleet):
    return min(fleet.followers, key=rendezvous_hash)


def list_late_hosts(make_fleet, site, *, silent, seeds):
    hosts, bound_ms = site
    late = {}
    for seed in seeds:
        fleet = make_fleet(hosts, seed=seed)
        silence_first_readers(fleet, silent)
        fleet.store.put("config", "main", "v2")
        fleet.run(bound_ms)
        late[seed] = fleet.hosts_without("config", "main", "v2")
    return {seed: hosts for seed, hosts in late.items() if hosts}


def test_change_is_in_force_in_time_although_the_store_ignores_the_first_of_17_readers(
    make_fleet,
):
    # A third of the hosts, in the worst order.
    late = list_late_hosts(make_fleet, SMALL_SITE, silent=6, seeds=range(8))
    assert not late, late


def test_change_is_in_force_in_time_although_the_store_ignores_the_first_of_136_readers(
    make_fleet,
):
    late = list_late_hosts(make_fleet, GROWN_SITE, silent=6, seeds=range(10))
    assert not late, late


def test_change_is_in_force_in_time_although_messages_of_the_reader_become_late(
    make_fleet,
):
    hosts, bound_ms = GROWN_SITE
    late = {}
    for seed in range(4):
        for delay_ms in (1_500.0, 2_500.0):
            fleet = make_fleet(hosts, seed=seed)
            reader = first_reader(fleet)
            fleet.network.delays_ms = {reader: delay_ms}
            # From then on marks arrive again, each of another reading.
            fleet.run(delay_ms)
            fleet.store.put("config", "main", "v2")
            fleet.run(bound_ms)
            behind = set(fleet.hosts_without("config", "main", "v2")) - {reader}
            late[seed, delay_ms] = len(behind)
    assert not any(late.values()), late


def test_host_that_stands_in_for_ignored_readers_reads_at_the_usual_interval(
    make_fleet,
):
    for count in (17, 136):
        for silent in (1, 2, 4):
            fleet = make_fleet(count, seed=silent)
            silence_first_readers(fleet, silent)
            fleet.run(4_000.0)
            longest_ms = 0.0
            for _ in range(100):
                fleet.run(TICK_MS)
                copies = [one.part("config") for one in fleet.followers.values()]
                newest_ms = max(copy.read_ms for copy in copies)
                longest_ms = max(longest_ms, fleet.clock.now_ms() - newest_ms)
            limit_ms = READING_INTERVAL_MS + 2 * TICK_MS
            assert longest_ms <= limit_ms, (count, silent, longest_ms)


def test_reader_that_announces_changes_and_hears_nothing_does_not_hold_up_others(
    make_fleet,
):
    fleet = make_fleet(8, seed=1)
    fleet.network.loss = 0.0
    reader = first_reader(fleet)
    missing = max(fleet.followers, key=rendezvous_hash)
    fleet.store.silent = set(fleet.followers) - {reader}
    fleet.network.receiving_nothing = {missing}
    fleet.store.put("config", "main", "v2")
    fleet.run(2 * READING_INTERVAL_MS)
    assert fleet.hosts_without("config", "main", "v2") == [missing]
    fleet.network.receiving_nothing = {reader}
    for version in range(3, 7):
        fleet.store.put("config", "main", f"v{version}")
        fleet.run(READING_INTERVAL_MS)
    assert missing in fleet.hosts_without("config", "main", "v1")
