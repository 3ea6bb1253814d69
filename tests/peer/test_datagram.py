"""Tests of the peer bus over datagrams, on a simulated network."""

import random

from mangohatch.peer.datagram import DatagramPeerBus
from mangohatch.peer.messages.load import PlacementNotes
from mangohatch.timeline.recorder import HybridClock
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

PORT = 7720
TICK_MS = 50.0


class DatagramNetwork:
    """
    Carries datagrams between buses.

    Datagrams from and to addresses in ``unreachable`` are lost.
    """

    def __init__(self, clock):
        self.clock = clock
        self.buses = {}
        self.unreachable = set()
        self.pending = []
        self.sent = 0

    def add(self, name, address, *, seeds=()):
        bus = DatagramPeerBus(
            host_id=name,
            zone="z",
            address=(address, PORT),
            seeds=[(seed, PORT) for seed in seeds],
            clock=self.clock,
            hybrid=HybridClock(clock=self.clock),
            rng=random.Random(name),
        )
        bus.attach(FakeTransport(self, (address, PORT)))
        self.buses[address, PORT] = bus
        return bus

    def run(self, span_ms):
        for _ in range(int(span_ms / TICK_MS)):
            self.clock.advance(TICK_MS)
            for bus in self.buses.values():
                bus.tick()
            pending, self.pending = self.pending, []
            for sender, receiver, data in pending:
                bus = self.buses.get(receiver)
                if bus is not None and not self.unreachable & {sender, receiver}:
                    bus.handle_datagram(data, sender)


class FakeTransport:
    def __init__(self, datagram_network, address):
        self.datagram_network = datagram_network
        self.address = address

    def sendto(self, data, address):
        self.datagram_network.sent += 1
        self.datagram_network.pending.append((self.address, address, data))

    def close(self):
        return None


@fixture
def datagram_network(clock):
    clock.advance(1_000.0)
    network = DatagramNetwork(clock)
    for number in range(5):
        network.add(f"h{number}", f"10.0.0.{number}", seeds=("10.0.0.0", "10.0.0.9"))
    network.run(1_000.0)
    return network


def member_ids(bus):
    return [member.host_id for member in bus.members()]


def test_hosts_find_each_other_through_one_live_seed(datagram_network):
    for bus in datagram_network.buses.values():
        assert member_ids(bus) == ["h0", "h1", "h2", "h3", "h4"]


def test_new_host_is_known_to_all(datagram_network):
    datagram_network.add("h9", "10.0.0.20", seeds=("10.0.0.0",))
    datagram_network.run(1_500.0)
    for bus in datagram_network.buses.values():
        assert "h9" in member_ids(bus)


def test_silent_host_is_removed_until_it_is_received_again(datagram_network):
    unreachable_address = ("10.0.0.3", PORT)
    datagram_network.unreachable = {unreachable_address}
    datagram_network.run(2_500.0)
    assert "h3" not in member_ids(datagram_network.buses["10.0.0.0", PORT])
    assert member_ids(datagram_network.buses[unreachable_address]) == ["h3"]
    datagram_network.unreachable = set()
    datagram_network.run(1_000.0)
    for bus in datagram_network.buses.values():
        assert member_ids(bus) == ["h0", "h1", "h2", "h3", "h4"]


def test_fleet_survives_the_loss_of_its_seed(datagram_network):
    del datagram_network.buses["10.0.0.0", PORT]
    datagram_network.run(2_500.0)
    for bus in datagram_network.buses.values():
        assert member_ids(bus) == ["h1", "h2", "h3", "h4"]


def test_restarted_host_replaces_its_predecessor(datagram_network):
    datagram_network.run(1_000.0)
    bus = datagram_network.add("h3", "10.0.0.3", seeds=("10.0.0.0",))
    datagram_network.run(1_500.0)
    assert member_ids(bus) == ["h0", "h1", "h2", "h3", "h4"]
    senders = []
    datagram_network.buses["10.0.0.1", PORT].subscribe(
        PlacementNotes, lambda sender, notes: senders.append(sender)
    )
    bus.broadcast(PlacementNotes(service_name="desk"))
    datagram_network.run(100.0)
    assert senders == ["h3"]


def test_messages_of_a_replaced_process_are_dropped(datagram_network):
    old = datagram_network.buses["10.0.0.3", PORT]
    datagram_network.run(100.0)
    datagram_network.add("h3", "10.0.0.3", seeds=("10.0.0.0",))
    datagram_network.run(1_500.0)
    senders = []
    receiver = datagram_network.buses["10.0.0.1", PORT]
    receiver.subscribe(PlacementNotes, lambda sender, notes: senders.append(sender))
    old.broadcast(PlacementNotes(service_name="desk"))
    datagram_network.run(100.0)
    assert senders == []


def test_leaving_host_announces_it(datagram_network):
    bus = datagram_network.buses["10.0.0.2", PORT]
    bus.leaving = True
    bus.announce()
    datagram_network.run(100.0)
    other = datagram_network.buses["10.0.0.0", PORT]
    assert [item.host_id for item in other.members() if item.leaving] == ["h2"]


def test_malformed_datagrams_are_ignored(datagram_network):
    bus = datagram_network.buses["10.0.0.0", PORT]
    for data in (b"", b"\0", b"x" * 500, bytes(range(256))):
        bus.handle_datagram(data, ("10.0.0.66", PORT))
    assert member_ids(bus) == ["h0", "h1", "h2", "h3", "h4"]


def test_number_of_beacons_is_bounded(datagram_network):
    datagram_network.sent = 0
    datagram_network.run(10_000.0)
    # Each of five hosts sends two beacons a second to four others and to a dead seed.
    assert datagram_network.sent <= 10 * (2 * 5 * 4 + 5 * 2)


def test_list_of_members_stays_the_same_object_while_nothing_changes(datagram_network):
    bus = datagram_network.buses["10.0.0.0", PORT]
    before = bus.members()
    datagram_network.run(3_000.0)
    assert bus.members() is before
