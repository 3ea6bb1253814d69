"""Tests of the peer bus over datagrams, on a simulated network."""

from mangohatch.peer.messages.load import PlacementNotes
from tests.functions import fixture, function_tests
from tests.peer.datagram_network import PORT, DatagramNetwork, record_logs

load_tests = function_tests(__name__)


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
    bus.set_leaving()
    assert [item.host_id for item in bus.members() if item.leaving] == ["h2"]
    datagram_network.run(100.0)
    other = datagram_network.buses["10.0.0.0", PORT]
    assert [item.host_id for item in other.members() if item.leaving] == ["h2"]


def test_stopped_host_is_removed_at_once(datagram_network):
    bus = datagram_network.buses["10.0.0.2", PORT]
    bus.stop()
    datagram_network.remove(bus)
    datagram_network.run(100.0)
    for other in datagram_network.buses.values():
        assert member_ids(other) == ["h0", "h1", "h3", "h4"]


def test_malformed_datagrams_are_ignored(datagram_network):
    bus = datagram_network.buses["10.0.0.0", PORT]
    with record_logs() as logs:
        for data in (b"", b"\0", b"x" * 500, bytes(range(256))):
            bus.handle_datagram(data, ("10.0.0.66", PORT))
        datagram_network.run(60_000.0)
        bus.handle_datagram(b"", ("10.0.0.66", PORT))
    # One line a minute and peer, which says how many were left out.
    lines = [one for one in logs if one["event"] == "peer_message_malformed"]
    assert [entry["unlogged"] for entry in lines] == [0, 3]
    assert {entry["peer"] for entry in lines} == {"10.0.0.66"}
    assert bus.failed == 5
    assert member_ids(bus) == ["h0", "h1", "h2", "h3", "h4"]


def test_failed_handler_is_counted(datagram_network):
    bus = datagram_network.buses["10.0.0.0", PORT]
    bus.subscribe(PlacementNotes, lambda sender, notes: 1 / 0)
    datagram_network.buses["10.0.0.1", PORT].broadcast(PlacementNotes())
    datagram_network.run(100.0)
    assert bus.failed == 1


def test_multicast_reaches_the_named_live_members_only(datagram_network):
    received = []
    for bus in datagram_network.buses.values():
        bus.subscribe(
            PlacementNotes,
            lambda sender, notes, host_id=bus.host_id: received.append(host_id),
        )
    sender = datagram_network.buses["10.0.0.1", PORT]
    sender.multicast(["h0", "h1", "h3", "unknown"], PlacementNotes())
    datagram_network.run(100.0)
    assert sorted(received) == ["h0", "h3"]


def test_changes_of_members_are_logged(datagram_network):
    address = ("10.0.0.3", PORT)
    with record_logs() as logs:
        datagram_network.unreachable = {address}
        datagram_network.run(2_500.0)
        datagram_network.unreachable = set()
        datagram_network.run(1_000.0)
        datagram_network.add("h9", "10.0.0.20", seeds=("10.0.0.0",))
        datagram_network.run(1_000.0)
    events = [(entry["event"], entry.get("peer")) for entry in logs]
    assert events.count(("peer_silent", "h3")) == 4
    assert events.count(("peer_returned", "h3")) == 4
    assert events.count(("peer_found", "h9")) == 5


def test_host_whose_id_was_taken_logs_it_and_sends_nothing(datagram_network):
    old = datagram_network.buses["10.0.0.3", PORT]
    with record_logs() as logs:
        datagram_network.add("h3", "10.0.0.30", seeds=("10.0.0.0",))
        datagram_network.run(3_000.0)
    assert old.membership.replaced
    assert [entry["host"] for entry in logs if entry["event"] == "peer_replaced"] == [
        "h3"
    ]
    assert not old.send("h1", PlacementNotes())


def test_host_cut_off_for_longer_than_deaths_are_announced_returns(datagram_network):
    datagram_network.unreachable = {("10.0.0.3", PORT)}
    datagram_network.run(90_000.0)
    datagram_network.unreachable = set()
    datagram_network.run(1_500.0)
    for bus in datagram_network.buses.values():
        assert member_ids(bus) == ["h0", "h1", "h2", "h3", "h4"]


def test_returning_host_does_not_remove_the_others_from_their_lists(datagram_network):
    datagram_network.unreachable = {("10.0.0.3", PORT)}
    datagram_network.run(5_000.0)
    with record_logs() as logs:
        datagram_network.unreachable = set()
        datagram_network.run(10_000.0)
    assert [entry for entry in logs if entry["event"] == "peer_silent"] == []


def test_new_seeds_are_contacted(datagram_network):
    bus = datagram_network.add("h9", "10.0.0.20")
    datagram_network.run(1_000.0)
    assert member_ids(bus) == ["h9"]
    bus.set_seeds([("10.0.0.1", PORT), ("10.0.0.20", PORT)])
    datagram_network.run(1_000.0)
    assert member_ids(bus) == ["h0", "h1", "h2", "h3", "h4", "h9"]


def test_list_of_members_stays_the_same_object_while_nothing_changes(datagram_network):
    bus = datagram_network.buses["10.0.0.0", PORT]
    before = bus.members()
    datagram_network.run(3_000.0)
    assert bus.members() is before


def test_refuted_suspicion_leaves_the_list_of_members_as_it_is(datagram_network):
    bus = datagram_network.buses["10.0.0.0", PORT]
    before = bus.members()
    row = bus.membership.table.rows["h2"]
    bus.membership.suspect(row, ())
    datagram_network.run(3_000.0)
    assert bus.membership.table.rows["h2"].incarnation > row.incarnation
    assert bus.members() is before
