"""Tests of the assignment of upstreams to hosts."""

import math
import random
from collections import Counter
from statistics import mean

from mangohatch.core import subset as subset_module
from mangohatch.core.subset import SubsetSettings, SubsetTable, split_hosts
from mangohatch.peer.bus import MemberView
from mangohatch.ranking import rendezvous_hash
from tests.functions import function_tests

load_tests = function_tests(__name__)

CFG = SubsetSettings()


def make_members(count, *, leaving=()):
    return [
        MemberView(
            host_id=f"h{number}",
            incarnation=1,
            zone="puno",
            leaving=f"h{number}" in leaving,
        )
        for number in range(count)
    ]


def make_names(count):
    return [f"u{number}" for number in range(count)]


def make_table(host_id, members, upstreams):
    table = SubsetTable(host_id=host_id)
    table.set_members(members)
    table.set_upstreams("desk", make_names(upstreams))
    return table


def expected_users(name, members, size):
    """Rank all members anew, as the incremental table must have them."""
    users, live = [], 0
    for member in sorted(members, key=lambda item: rendezvous_hash(name, item.host_id)):
        if live == size:
            break
        users.append(member.host_id)
        live += not member.leaving
    return frozenset(users)


def expected_size(members, upstreams):
    live = sum(not member.leaving for member in members)
    share = math.ceil(CFG.upstreams_per_host * live / upstreams)
    return min(live, max(CFG.min_users, share))


def count_hashes(function):
    """Return how many hashes a call of the table computes."""
    count = 0

    def counted(*parts):
        nonlocal count
        count += 1
        return rendezvous_hash(*parts)

    subset_module.rendezvous_hash = counted
    try:
        function()
    finally:
        subset_module.rendezvous_hash = rendezvous_hash
    return count


def test_all_hosts_use_all_upstreams_on_the_smallest_sites():
    for hosts in (1, 2, CFG.min_users):
        members = make_members(hosts)
        everyone = frozenset(member.host_id for member in members)
        for host_id in everyone:
            table = make_table(host_id, members, 28)
            assert table.assigned("desk") == set(make_names(28))
            assert table.users("desk", "u3") == everyone
            assert table.audiences("desk") == (everyone,)


def test_hosts_of_small_sites_use_enough_upstreams_and_each_has_enough_users():
    for hosts, upstreams in ((13, 22), (17, 31), (19, 21), (20, 28)):
        members = make_members(hosts)
        tables = [make_table(member.host_id, members, upstreams) for member in members]
        counts = [len(table.assigned("desk")) for table in tables]
        assert mean(counts) >= CFG.upstreams_per_host
        assert min(counts) >= CFG.min_upstreams
        for name in make_names(upstreams):
            users = {t.host_id for t in tables if name in t.assigned("desk")}
            assert len(users) >= min(hosts, CFG.min_users)
            assert users >= tables[0].users("desk", name)
        assert len(tables[0].audiences("desk")) == 1


def test_owner_is_the_first_live_host_of_the_ranking():
    for hosts in (13, 17, 136):
        members = make_members(hosts, leaving={"h1", "h5"})
        table = make_table("h1", members, 114)
        live = [member.host_id for member in members if not member.leaving]
        for name in make_names(114):
            first = min(live, key=lambda host: rendezvous_hash(name, host))
            assert table.owner("desk", name) == first


def test_number_of_users_does_not_grow_with_hosts():
    for hosts in (30, 100, 300):
        table = make_table("h0", make_members(hosts), hosts)
        size = max(CFG.min_users, CFG.upstreams_per_host)
        assert {len(table.users("desk", name)) for name in make_names(hosts)} == {size}


def test_hosts_agree_on_users():
    members = make_members(136)
    tables = [make_table(f"h{number}", members, 114) for number in (0, 7, 99)]
    for name in make_names(114):
        assert len({table.users("desk", name) for table in tables}) == 1


def test_each_host_uses_the_wanted_number_of_upstreams_or_more():
    for hosts, upstreams in ((136, 114), (136, 60), (300, 114)):
        members = make_members(hosts)
        counts = [
            len(make_table(member.host_id, members, upstreams).assigned("desk"))
            for member in members
        ]
        assert mean(counts) >= CFG.upstreams_per_host
        assert min(counts) >= CFG.min_upstreams


def test_all_hosts_use_all_upstreams_of_a_small_service():
    table = make_table("h0", make_members(136), 9)
    assert table.assigned("desk") == set(make_names(9))


def test_incremental_changes_give_the_same_users_as_a_new_ranking():
    rng = random.Random(3)
    table = SubsetTable(host_id="h0")
    upstreams = 40
    table.set_upstreams("desk", make_names(upstreams))
    pool = make_members(150)[1:]
    members = [MemberView(host_id="h0", incarnation=1, zone="puno")]
    for _ in range(300):
        if pool and rng.random() < 0.6:
            members.append(pool.pop(rng.randrange(len(pool))))
        elif len(members) > 1:
            pool.append(members.pop(rng.randrange(1, len(members))))
        table.set_members(members)
        if rng.random() < 0.1:
            upstreams = rng.randrange(20, 60)
            table.set_upstreams("desk", make_names(upstreams))
        size = expected_size(members, upstreams)
        if size == len(members):
            continue
        for name in make_names(upstreams):
            users = expected_users(name, members, size)
            assert table.users("desk", name) == users
            first = min(members, key=lambda m: rendezvous_hash(name, m.host_id))
            assert table.owner("desk", name) == first.host_id


def test_many_leaving_hosts_leave_enough_live_users():
    members = make_members(136, leaving={f"h{number}" for number in range(68)})
    table = make_table("h0", make_members(136), 114)
    table.set_members(members)
    size = expected_size(members, 114)
    for name in make_names(114):
        assert table.users("desk", name) == expected_users(name, members, size)
        assert not table.owner("desk", name) in {f"h{number}" for number in range(68)}


def test_leaving_host_keeps_its_upstreams_and_owns_none():
    table = make_table("h0", make_members(136), 114)
    before = table.assigned("desk")
    table.set_members(make_members(136, leaving={"h0"}))
    assert before <= table.assigned("desk")
    assert "h0" not in {table.owner("desk", name) for name in make_names(114)}


def test_host_without_assigned_upstreams_uses_some():
    cfg = SubsetSettings(min_users=1, upstreams_per_host=0)
    members = make_members(136)
    for member in members:
        table = SubsetTable(host_id=member.host_id, cfg=cfg)
        table.set_members(members)
        table.set_upstreams("desk", make_names(6))
        assert len(table.assigned("desk")) >= cfg.min_upstreams


def test_join_costs_one_hash_for_each_upstream():
    table = make_table("h0", make_members(139), 160)
    hashes = count_hashes(lambda: table.set_members(make_members(140)))
    assert hashes == 160


def test_loss_costs_at_most_one_hash_for_each_upstream():
    table = make_table("h0", make_members(140), 160)

    def lose():
        table.set_members(make_members(139))
        table.assigned("desk")

    assert count_hashes(lose) == 160


def test_new_upstream_costs_one_hash_for_each_host():
    table = make_table("h0", make_members(140), 160)
    hashes = count_hashes(lambda: table.set_upstreams("desk", make_names(161)))
    assert hashes == 140


def test_change_of_members_moves_few_upstreams():
    before = make_table("h0", make_members(136), 114)
    after = make_table("h0", make_members(136)[:-1], 114)
    moved = Counter(
        len(before.users("desk", name) ^ after.users("desk", name))
        for name in make_names(114)
    )
    changed = sum(count for size, count in moved.items() if size)
    assert changed <= 2 * 114 * expected_size(make_members(136), 114) / 136
    assert set(moved) <= {0, 2}


def test_audiences_cover_all_hosts_that_share_an_upstream():
    table = make_table("h0", make_members(136), 114)
    audiences = table.audiences("desk")
    shared = set().union(
        *(table.users("desk", name) for name in table.assigned("desk"))
    )
    assert set().union(*audiences) == shared - {"h0"}
    assert max(map(len, audiences)) <= CFG.audience_size


def test_unregistered_upstream_has_the_users_that_it_would_have():
    # The size of subsets is the same for 113 and 114 upstreams.
    table = make_table("h0", make_members(100), 114)
    before = table.users("desk", "u5")
    table.set_upstreams("desk", [name for name in make_names(114) if name != "u5"])
    assert table.users("desk", "u5") == before


def test_parts_of_hosts_stay_the_same_when_a_host_is_lost():
    hosts = frozenset(f"h{number}" for number in range(135))
    before = split_hosts(hosts, 20)
    after = split_hosts(hosts - {"h7"}, 20)
    assert [[host for host in part if host != "h7"] for part in before] == after


def make_zoned(hosts, upstreams, zones, *, tables_of=8):
    """Make the tables of some hosts of a site whose zones are equally large."""
    members = [
        MemberView(host_id=f"h{number}", incarnation=1, zone=f"z{number % zones}")
        for number in range(hosts)
    ]
    places = {f"u{number}": f"z{number % zones}" for number in range(upstreams)}
    tables = []
    for member in members[:: math.ceil(hosts / tables_of)]:
        table = SubsetTable(host_id=member.host_id)
        table.set_members(members)
        table.set_upstreams("desk", places, places)
        tables.append(table)
    return members, places, tables


def test_most_users_of_an_upstream_are_in_its_zone():
    for hosts, upstreams, zones, least in ((19, 21, 3, 0.5), (300, 306, 5, 0.6)):
        members, places, tables = make_zoned(hosts, upstreams, zones)
        zone_of = {member.host_id: member.zone for member in members}
        users = [
            zone_of[host] == zone
            for name, zone in places.items()
            for host in tables[0].users("desk", name)
        ]
        assert least <= mean(users) <= 0.9, mean(users)
        for name in places:
            assert len({table.users("desk", name) for table in tables}) == 1
        counts = [len(table.assigned("desk")) for table in tables]
        assert min(counts) >= CFG.min_upstreams


def test_zones_survive_incremental_changes():
    members, places, tables = make_zoned(60, 40, 3)
    table = tables[0]
    table.set_members(members[:50])
    table.set_members(members[10:] + members[:1])
    table.set_upstreams("desk", places, places)
    fresh = SubsetTable(host_id="h0")
    fresh.set_members(members[10:] + members[:1])
    fresh.set_upstreams("desk", places, places)
    for name in places:
        assert table.users("desk", name) == fresh.users("desk", name)
        assert table.owner("desk", name) == fresh.owner("desk", name)
