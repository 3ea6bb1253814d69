"""Tests of messages that this version does not understand, or not entirely."""

import random

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from mangohatch.peer.codec import CODEC, decode_envelope, find_binding
from mangohatch.peer.datagram import DatagramPeerBus
from mangohatch.peer.messages.load import LoadReport, LoadSample
from mangohatch.peer.messages.membership import Member, Ping
from mangohatch.peer.unreadable import MAX_PEERS, find_unknown_fields
from mangohatch.timeline import HybridClock
from tests.functions import fixture, function_tests
from tests.peer.datagram_network import PORT, record_logs
from tests.peer.test_codec import encode_one, make_filled

load_tests = function_tests(__name__)

SENDER = ("10.0.0.9", PORT)
MINUTE_MS = 60_000.0
NEW_FIELD = 60  # a number that no struct uses so far


@fixture
def bus(clock):
    return DatagramPeerBus(
        host_id="h0",
        zone="z",
        address=("10.0.0.1", PORT),
        seeds=(),
        clock=clock,
        hybrid=HybridClock(clock=clock),
        rng=random.Random(1),
    )


def with_new_field(data):
    """Add a field to an encoded struct, as a newer version may do."""
    buffer = TMemoryBuffer()
    protocol = TCompactProtocol(buffer)
    protocol.writeStructBegin("")
    protocol.writeFieldBegin("", TType.STRING, NEW_FIELD)
    protocol.writeString("from a newer version")
    protocol.writeFieldEnd()
    return data[:-1] + buffer.getvalue() + b"\0"


def rewrap(message, *, kind=None, change=lambda body: body):
    """Encode a message, with another name of its kind or another body."""
    envelope = decode_envelope(encode_one(message))
    envelope.kind = kind or envelope.kind
    envelope.body = change(envelope.body)
    return CODEC._fast_encode(envelope, find_binding("Envelope"))


def receive(bus, *frames):
    with record_logs() as logs:
        for frame in frames:
            bus.handle_datagram(frame, SENDER)
    return logs


def test_unknown_kind_is_counted_and_logged_once_a_minute(bus, clock):
    frame = rewrap(Ping(), kind="LaterRequest")
    logs = receive(bus, *[frame] * 100)
    assert [entry["event"] for entry in logs] == ["peer_message_unknown"]
    assert "LaterRequest" in logs[0]["cause"]
    assert bus.counters.unreadable == {"unknown_kind": 100}
    clock.advance(MINUTE_MS)
    logs = receive(bus, frame, frame)
    assert [entry["unlogged"] for entry in logs] == [99]
    assert bus.counters.dropped["unknown_kind"] == 102


def test_unknown_kind_is_no_failure_of_this_host(bus):
    # Else each upgrade would raise the alarm on malformed datagrams.
    receive(bus, rewrap(Ping(), kind="LaterRequest"))
    assert bus.failed == 0


def test_message_with_unknown_fields_is_handled(bus):
    received = []
    bus.subscribe(LoadReport, lambda sender, report: received.append(report))
    report = LoadReport(service_name="desk", samples=[LoadSample(upstream="u1")])
    logs = receive(bus, rewrap(report, change=with_new_field))
    assert received == [report]
    assert bus.counters.unreadable == {"unknown_fields": 1}
    assert "LoadReport.60" in logs[0]["cause"]


def test_unknown_fields_are_found_in_lists_of_structs():
    body = decode_envelope(
        encode_one(LoadReport(samples=[LoadSample(), LoadSample()]))
    ).body
    sample = CODEC._fast_encode(LoadSample(), find_binding("LoadSample"))
    changed = body.replace(sample, with_new_field(sample))
    assert find_unknown_fields("LoadReport", body) == []
    assert find_unknown_fields("LoadReport", changed) == ["LoadSample.60"]


def test_no_message_of_this_version_has_unknown_fields(bus):
    for kind in (LoadReport, Ping):
        body = decode_envelope(encode_one(make_filled(kind))).body
        assert find_unknown_fields(kind.__name__, body) == []


def test_search_for_unknown_fields_is_rare(bus):
    # Searching costs more than decoding.
    frame = rewrap(LoadReport(), change=with_new_field)
    receive(bus, *[frame] * 100)
    assert bus.counters.unreadable["unknown_fields"] == 1


def test_truncated_messages_are_dropped(bus):
    handled = []
    bus.subscribe(LoadReport, lambda sender, report: handled.append(report))
    frame = encode_one(make_filled(LoadReport))
    logs = receive(bus, *(frame[:size] for size in range(len(frame))))
    assert not handled
    assert bus.counters.unreadable == {"malformed": len(frame)}
    assert [entry["event"] for entry in logs] == ["peer_message_malformed"]


def test_body_that_is_truncated_in_a_whole_envelope_is_dropped(bus):
    frame = rewrap(make_filled(LoadReport), change=lambda body: body[:-3])
    receive(bus, frame)
    assert bus.counters.unreadable == {"malformed": 1}


def test_versions_of_the_encoding_that_do_not_exist_are_dropped(bus):
    # Message headers of thrift's protocols with a version; this program sends none.
    headers = [bytes((0x82, version, 1)) + b"\x04Ping\0" for version in range(1, 256)]
    headers.append(b"\x80\x7f\x00\x01\x00\x00\x00\x04Ping\x00\x00\x00\x01\x00")
    receive(bus, *headers)
    assert bus.counters.unreadable == {"malformed": len(headers)}


def test_forged_addresses_do_not_fill_the_memory(bus):
    for number in range(3 * MAX_PEERS):
        address = f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}"
        bus.handle_datagram(b"", (address, PORT))
    assert bus.counters.unreadable["malformed"] == 3 * MAX_PEERS
    assert len(bus._inbox._unreadable._log_due_ms) == MAX_PEERS


def test_entry_of_a_member_in_an_unknown_state_is_ignored(bus):
    # A newer version may know other states. The probe that carries the entry must be
    # answered all the same, or its sender would suspect this host.
    known = Member(host_id="h2", incarnation=5, state="alive", address="10.0.0.2")
    strange = Member(host_id="h3", incarnation=5, state="resting", address="10.0.0.3")
    own = Member(host_id="h0", incarnation=9, state="resting", address="10.0.0.1")
    receive(bus, encode_one(Ping(members=[strange, own, known])))
    assert bus.counters.handler_failures == 0
    assert [item.host_id for item in bus.members()] == ["h0", "h2"]
