"""Tests of shards and their brokers."""

from mangohatch.core.slots import ShardMap
from mangohatch.core.slots.shards import MAX_SHARD_UPSTREAMS, shard_rows
from mangohatch.core.tables import Tables
from mangohatch.peer.bus import MemberView
from tests.fixtures import make_service
from tests.functions import function_tests

load_tests = function_tests(__name__)


def make_members(count, leaving=()):
    return tuple(
        MemberView(
            host_id=f"h{index}", incarnation=1, zone="puno", leaving=index in leaving
        )
        for index in range(count)
    )


def make_row(upstreams):
    tables = Tables()
    tables.apply(make_service(upstreams=upstreams), revision=1)
    return tables.services["tablero-misa"]


def test_all_hosts_choose_the_same_broker():
    members = make_members(15)
    named = set()
    for view in members:
        shards = ShardMap(host_id=view.host_id)
        shards.update(members)
        named.add(shards.broker("tablero-misa"))
    assert len(named) == 1


def test_only_the_shards_of_a_lost_broker_move():
    shards = ShardMap(host_id="h0")
    names = [f"service-{number}" for number in range(50)]
    shards.update(make_members(15))
    before = {name: shards.broker(name) for name in names}
    shards.update([view for view in make_members(15) if view.host_id != "h3"])
    moved = {name for name in names if shards.broker(name) != before[name]}
    assert moved == {name for name in names if before[name] == "h3"}


def test_leaving_host_is_no_broker():
    shards = ShardMap(host_id="h0")
    shards.update(make_members(2, leaving={0}))
    assert {shards.broker(f"service-{number}") for number in range(20)} == {"h1"}


def make_map(host, members):
    shards = ShardMap(host_id=host)
    shards.update(members)
    return shards


def test_large_service_is_split_completely_and_evenly():
    service = make_row(MAX_SHARD_UPSTREAMS * 2 + 1)
    members = make_members(15)
    shards = make_map("h0", members).shards(service)
    names = [row.name for shard in shards for row in shard_rows(service, shard)]
    homes = [make_map(view.host_id, members).home(service) for view in members]
    assert len(shards) == 3
    assert sorted(names) == sorted(service.upstreams)
    assert [homes.count(shard) for shard in shards] == [5, 5, 5]


def test_every_shard_of_a_large_service_has_hosts():
    service = make_row(MAX_SHARD_UPSTREAMS * 4)
    members = make_members(4)
    homes = {make_map(view.host_id, members).home(service) for view in members}
    assert homes == set(make_map("h0", members).shards(service))


def test_small_service_is_one_shard():
    service = make_row(MAX_SHARD_UPSTREAMS)
    assert ShardMap(host_id="h0").home(service) == "tablero-misa"
