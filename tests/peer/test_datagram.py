"""Tests of the peer bus of datagrams, without a network."""

import random

from mangohatch.peer.datagram import DatagramPeerBus
from mangohatch.peer.messages.load import PlacementNotes
from mangohatch.timeline.recorder import HybridClock
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

PORT = 7720
TICK_MS = 50.0


class Wire:
    """Carries datagrams between buses; cut addresses lose them."""

    def __init__(self, clock):
        self.clock = clock
        self.buses = {}
        self.cut = set()
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
        bus.attach(End(self, (address, PORT)))
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
                if bus is not None and not self.cut & {sender, receiver}:
                    bus.take(data, sender)


class End:
    def __init__(self, wire, address):
        self.wire = wire
        self.address = address

    def sendto(self, data, address):
        self.wire.sent += 1
        self.wire.pending.append((self.address, address, data))

    def close(self):
        return None


@fixture
def wire(clock):
    clock.advance(1_000.0)
    made = Wire(clock)
    for number in range(5):
        made.add(f"h{number}", f"10.0.0.{number}", seeds=("10.0.0.0", "10.0.0.9"))
    made.run(1_000.0)
    return made


def names(bus):
    return [member.host_id for member in bus.members()]


def test_hosts_find_each_other_through_one_live_seed(wire):
    for bus in wire.buses.values():
        assert names(bus) == ["h0", "h1", "h2", "h3", "h4"]


def test_new_host_is_known_to_all(wire):
    wire.add("h9", "10.0.0.20", seeds=("10.0.0.0",))
    wire.run(1_500.0)
    for bus in wire.buses.values():
        assert "h9" in names(bus)


def test_silent_host_is_left_out_and_comes_back(wire):
    gone = ("10.0.0.3", PORT)
    wire.cut = {gone}
    wire.run(2_500.0)
    assert "h3" not in names(wire.buses["10.0.0.0", PORT])
    assert names(wire.buses[gone]) == ["h3"]
    wire.cut = set()
    wire.run(1_000.0)
    for bus in wire.buses.values():
        assert names(bus) == ["h0", "h1", "h2", "h3", "h4"]


def test_fleet_goes_on_without_its_seeds(wire):
    del wire.buses["10.0.0.0", PORT]
    wire.run(2_500.0)
    for bus in wire.buses.values():
        assert names(bus) == ["h1", "h2", "h3", "h4"]


def test_restarted_host_replaces_its_predecessor(wire):
    wire.run(1_000.0)
    bus = wire.add("h3", "10.0.0.3", seeds=("10.0.0.0",))
    wire.run(1_500.0)
    assert names(bus) == ["h0", "h1", "h2", "h3", "h4"]
    heard = []
    wire.buses["10.0.0.1", PORT].subscribe(
        PlacementNotes, lambda sender, notes: heard.append(sender)
    )
    bus.broadcast(PlacementNotes(service_name="desk"))
    wire.run(100.0)
    assert heard == ["h3"]


def test_messages_of_a_replaced_process_are_dropped(wire):
    old = wire.buses["10.0.0.3", PORT]
    wire.run(100.0)
    wire.add("h3", "10.0.0.3", seeds=("10.0.0.0",))
    wire.run(1_500.0)
    heard = []
    receiver = wire.buses["10.0.0.1", PORT]
    receiver.subscribe(PlacementNotes, lambda sender, notes: heard.append(sender))
    old.broadcast(PlacementNotes(service_name="desk"))
    wire.run(100.0)
    assert heard == []


def test_leaving_host_says_so(wire):
    bus = wire.buses["10.0.0.2", PORT]
    bus.leaving = True
    bus.announce()
    wire.run(100.0)
    other = wire.buses["10.0.0.0", PORT]
    assert [item.host_id for item in other.members() if item.leaving] == ["h2"]


def test_noise_is_ignored(wire):
    bus = wire.buses["10.0.0.0", PORT]
    for data in (b"", b"\0", b"x" * 500, bytes(range(256))):
        bus.take(data, ("10.0.0.66", PORT))
    assert names(bus) == ["h0", "h1", "h2", "h3", "h4"]


def test_signs_of_life_are_few(wire):
    wire.sent = 0
    wire.run(10_000.0)
    # Two beacons a second from each of five hosts to four others, and to a dead seed.
    assert wire.sent <= 10 * (2 * 5 * 4 + 5 * 2)


def test_list_of_members_stays_the_same_object_while_nothing_changes(wire):
    bus = wire.buses["10.0.0.0", PORT]
    before = bus.members()
    wire.run(3_000.0)
    assert bus.members() is before
