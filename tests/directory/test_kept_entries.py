"""Tests of entries that are missing after a time without readings."""

from mangohatch.ranking import rendezvous_hash
from tests.directory.fleet import RENEWAL_MS, Followers
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

TICK_MS = 50.0
BOUND_MS = 2_000.0  # the shortest one for a drain
RETURN_MS = 2_000.0  # after an outage, living upstreams have registered again by then
UPSTREAMS = tuple(f"u{number}" for number in range(20))


@fixture
def make_fleet(loop):
    fleets = []

    def make(count):
        fleet = Followers(loop, count=count, tick_ms=TICK_MS)
        fleets.append(fleet)
        fleet.store.put("config", "main", "v1")
        for name in UPSTREAMS:
            fleet.store.put("upstreams", name, "ready")
            fleet.store.renewed[name] = "ready"
        fleet.run(3_000.0)
        return fleet

    yield make
    for fleet in fleets:
        fleet.stop()


def remove(fleet, name):
    del fleet.store.renewed[name]
    fleet.store.delete("upstreams", name)


def find_users(fleet, name):
    names = fleet.names()
    return [host for host in names if name in names[host]]


def test_entries_removed_while_one_host_stood_still_do_not_come_back(make_fleet):
    """A host that was continued took upstreams that had left for lapsed entries."""
    for count in (17, 136):
        fleet = make_fleet(count)
        host = sorted(fleet.followers, key=rendezvous_hash)[1]
        fleet.standing_still.add(host)
        removed = UPSTREAMS[:12]
        for name in removed:
            remove(fleet, name)
            fleet.run(200.0)
        fleet.run(BOUND_MS)
        fleet.standing_still.clear()
        for _ in range(60):
            fleet.run(TICK_MS)
            names = fleet.names()
            users = [one for one in names if names[one] & set(removed)]
            assert not set(users) - {host}, f"{len(users)} of {count} hosts"


def test_entry_removed_while_one_host_stood_still_does_not_come_back(make_fleet):
    for count in (17, 136):
        for rank in (0, 1, 5):
            fleet = make_fleet(count)
            host = sorted(fleet.followers, key=rendezvous_hash)[rank]
            fleet.standing_still.add(host)
            fleet.run(500.0)
            remove(fleet, "u1")
            fleet.run(BOUND_MS)
            assert find_users(fleet, "u1") == [host]
            fleet.standing_still.clear()
            users = set()
            for _ in range(60):
                fleet.run(TICK_MS)
                users |= set(find_users(fleet, "u1")) - {host}
            assert not users, f"{len(users)} of {count} hosts, rank {rank}"


def test_entry_removed_while_readers_were_ignored_is_gone_with_the_next_reading(
    make_fleet,
):
    fleet = make_fleet(17)
    fleet.store.silent = set(fleet.followers)
    fleet.run(1_500.0)
    remove(fleet, "u1")
    fleet.run(1_000.0)
    fleet.store.silent = set()
    fleet.run(BOUND_MS - 500.0)
    assert not find_users(fleet, "u1")


def test_entries_that_lapsed_in_an_outage_are_kept_until_their_owners_return(
    make_fleet,
):
    for count in (17, 136):
        fleet = make_fleet(count)
        fleet.store.down = True
        fleet.run(6_000.0)
        for name in UPSTREAMS:
            fleet.store.delete("upstreams", name)
        fleet.store.down = False
        for _ in range(int(RETURN_MS / TICK_MS)):
            fleet.run(TICK_MS)
            assert fleet.all_have(set(UPSTREAMS))


def test_entries_whose_owners_died_in_an_outage_end_soon_after_it(make_fleet):
    fleet = make_fleet(17)
    fleet.store.down = True
    fleet.run(6_000.0)
    for name in UPSTREAMS:
        fleet.store.delete("upstreams", name)
    del fleet.store.renewed["u1"]
    fleet.store.down = False
    fleet.run(2 * RETURN_MS + RENEWAL_MS)
    assert fleet.all_have(set(UPSTREAMS) - {"u1"})
