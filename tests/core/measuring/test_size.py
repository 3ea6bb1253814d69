"""Tests of the estimated sizes of messages."""

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.transport.TTransport import TMemoryBuffer

from mangohatch.core.measuring.size import size_of
from mangohatch.peer.gen import ttypes
from mangohatch.peer.messages.slots import SlotGrant, SlotRequest, SlotReturn, SlotUse
from tests.functions import function_tests

load_tests = function_tests(__name__)

TOKEN = (1 << 31) + 100
FRAME_HEADER_BYTES = 4


def encode(struct):
    buffer = TMemoryBuffer()
    struct.write(TCompactProtocol(buffer))
    return buffer.getvalue()


def wire_bytes(kind, body):
    envelope = ttypes.Envelope(
        sender="host-000",
        incarnation=1_800_000_000_000,
        sent_wall_us=1_800_000_000_000_000,
        sent_count=5,
        kind=kind,
        body=body,
    )
    return len(encode(envelope)) + FRAME_HEADER_BYTES


def check(message, struct):
    encoded_bytes = wire_bytes(type(message).__name__, encode(struct))
    assert encoded_bytes <= size_of(message) <= encoded_bytes * 1.5, (
        encoded_bytes,
        size_of(message),
    )


def test_request_size_is_an_upper_bound():
    values = dict(
        shard="tablero-misa", sequence=70_000, count=3, wait_ms=15.0, avoid=["u001"]
    )
    check(SlotRequest(**values), ttypes.SlotRequest(**values, isolated=False))


def test_grant_size_is_an_upper_bound():
    values = dict(
        shard="tablero-misa",
        sequence=70_000,
        upstreams=["u001", "u002"],
        tokens=[TOKEN, TOKEN + 1],
        linger_ms=4.0,
        waiting=2,
    )
    check(
        SlotGrant(**values),
        ttypes.SlotGrant(**values, recall=0, recalled=[], isolated=False),
    )


def test_return_size_is_an_upper_bound():
    use = dict(
        upstream="u001",
        token=TOKEN,
        result="ok",
        latency_ms=12.5,
        freed=True,
        draining=False,
    )
    held = dict(held=["u003", "u004"], held_tokens=[TOKEN, TOKEN + 1], waiting=0)
    check(
        SlotReturn(shard="tablero-misa", uses=[SlotUse(**use)] * 3, **held),
        ttypes.SlotReturn(
            shard="tablero-misa", uses=[ttypes.SlotUse(**use)] * 3, **held
        ),
    )
