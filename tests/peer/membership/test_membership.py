"""Tests of membership in virtual time."""

from mangohatch.timeline.event import EventKind
from standins.member_network import MemberNetwork
from tests.functions import function_tests

load_tests = function_tests(__name__)

SETTLE_MS = 15_000.0
LONG_FAULT_MS = 60_000.0


def host_ids(nodes):
    return {node.host_id for node in nodes}


def assert_agreed(nodes):
    for node in nodes:
        assert node.live() == host_ids(nodes), (node.host_id, node.live())


def count_deaths(nodes):
    return sum(
        event.kind is EventKind.MEMBER_DEAD
        for node in nodes
        for event in node.recorder.events()
    )


def test_fleet_joins_through_seeds():
    network = MemberNetwork(seed=1)
    nodes = network.start_fleet(17)
    network.run(SETTLE_MS)
    assert_agreed(nodes)
    assert all(node.membership.joined for node in nodes)


def test_dead_host_is_detected_and_its_successor_joins():
    network = MemberNetwork(seed=2)
    nodes = network.start_fleet(8)
    network.run(SETTLE_MS)
    nodes[3].running = False
    network.run(SETTLE_MS)
    others = [node for node in nodes if node is not nodes[3]]
    assert_agreed(others)
    successor = network.start("entry-3")
    network.run(SETTLE_MS)
    assert_agreed([*others, successor])


def test_successor_replaces_a_resumed_predecessor():
    network = MemberNetwork(seed=3)
    nodes = network.start_fleet(8)
    network.run(SETTLE_MS)
    predecessor = nodes[3]
    predecessor.paused_until_ms = network.clock.now_ms() + 2 * SETTLE_MS
    successor = network.start("entry-3")
    network.run(4 * SETTLE_MS)
    assert predecessor.membership.replaced
    others = [node for node in nodes if node is not predecessor]
    assert_agreed([*others, successor])
    for node in others:
        row = node.membership.table.rows["entry-3"]
        assert row.endpoint == successor.endpoint


def test_host_whose_clock_lags_replaces_one_with_a_later_start():
    network = MemberNetwork(seed=4)
    nodes = network.start_fleet(5)
    network.run(SETTLE_MS)
    nodes[2].membership.own.incarnation += 10_000_000
    network.run(SETTLE_MS)
    nodes[2].running = False
    successor = network.start("entry-2")
    network.run(2 * SETTLE_MS)
    others = [node for node in nodes if node is not nodes[2]]
    assert not successor.membership.replaced
    assert_agreed([*others, successor])


def test_host_that_left_is_removed_without_suspicion():
    network = MemberNetwork(seed=5)
    nodes = network.start_fleet(8)
    network.run(SETTLE_MS)
    nodes[0].membership.set_leaving()
    network.run(1000.0)
    assert all(
        next(v for v in node.membership.views() if v.host_id == "entry-0").leaving
        for node in nodes
    )
    nodes[0].membership.set_left()
    nodes[0].running = False
    network.run(1000.0)
    assert_agreed(nodes[1:])
    assert count_deaths(nodes) == 0


def test_partition_heals():
    network = MemberNetwork(seed=6)
    nodes = network.start_fleet(9)
    network.run(SETTLE_MS)
    network.sides = {node.endpoint: 1 for node in nodes[:3]}
    network.run(LONG_FAULT_MS)
    assert_agreed(nodes[:3])
    assert_agreed(nodes[3:])
    network.sides = {}
    network.run(2 * SETTLE_MS)
    assert_agreed(nodes)


def test_resumed_host_declares_no_other_host_dead():
    network = MemberNetwork(seed=7)
    nodes = network.start_fleet(9)
    network.run(SETTLE_MS)
    nodes[4].paused_until_ms = network.clock.now_ms() + LONG_FAULT_MS
    network.run(LONG_FAULT_MS + SETTLE_MS)
    assert_agreed(nodes)
    assert count_deaths([nodes[4]]) == 0


def test_ten_percent_loss_causes_no_death():
    network = MemberNetwork(seed=8)
    nodes = network.start_fleet(9)
    network.run(SETTLE_MS)
    network.loss = 0.1
    network.run(LONG_FAULT_MS)
    assert count_deaths(nodes) == 0
    assert_agreed(nodes)
