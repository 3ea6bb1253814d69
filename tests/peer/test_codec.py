"""Tests of the message codec and of frames."""

import dataclasses
import importlib
import pkgutil
import random
import typing

from mangohatch.errors import PeerProtocolError
from mangohatch.peer import messages
from mangohatch.peer.codec import decode_body, decode_envelope, encode
from mangohatch.peer.frames import MAX_FRAME_BYTES, FrameReader, make_frame
from mangohatch.peer.gen import ttypes
from mangohatch.peer.messages.membership import Ack
from mangohatch.peer.messages.notices import UpstreamNotice
from mangohatch.peer.messages.orders import OrderVote
from tests.functions import function_tests

load_tests = function_tests(__name__)

DAMAGED_MESSAGES = 2000


def encode_one(message):
    return encode(
        message, sender="entry-1", incarnation=7, time_ms=1_700_000_000_000.25, count=3
    )


VALUES = {
    int: 7,
    int | None: 7,
    float: 2.5,
    str: "puno",
    bool: True,
    bytes: b"\x00puno",
}


def make_value(hint):
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin is list:
        return [make_value(arguments[0])] * 2
    if origin is dict:
        return {make_value(arguments[0]): make_value(arguments[1])}
    if dataclasses.is_dataclass(hint):
        return make_filled(hint)
    return VALUES[hint]


def make_filled(kind):
    fields = typing.get_type_hints(kind)
    return kind(**{name: make_value(hint) for name, hint in fields.items()})


def test_every_message_survives_encoding():
    for module in pkgutil.iter_modules(messages.__path__):
        importlib.import_module(f"{messages.__name__}.{module.name}")
    structs = {
        name for name, kind in vars(ttypes).items() if hasattr(kind, "thrift_spec")
    }
    assert messages.KINDS.keys() == structs
    for name in structs - {"Envelope"}:
        message = make_filled(messages.KINDS[name])
        envelope = decode_envelope(encode_one(message))
        assert decode_body(envelope) == message, name
        assert (envelope.sender, envelope.incarnation) == ("entry-1", 7)


def test_clock_reading_is_never_rounded_down():
    envelope = decode_envelope(encode_one(Ack()))
    assert envelope.sent_wall_us / 1000 >= 1_700_000_000_000.25


def test_damaged_bytes_raise_a_typed_error(rng):
    data = encode_one(UpstreamNotice(service_name="tablero-misa"))
    refused = 0
    for _ in range(DAMAGED_MESSAGES):
        damaged = bytearray(data)
        damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        try:
            decode_body(decode_envelope(bytes(damaged[: rng.randrange(len(damaged))])))
        except PeerProtocolError:
            refused += 1
    assert refused > 0


def test_message_of_wrong_type_is_refused():
    try:
        encode_one(OrderVote(revision="none"))  # type: ignore[arg-type]
    except PeerProtocolError as exc:
        assert "OrderVote" in str(exc)
    else:
        raise AssertionError("encoded a revision that is not a number")


def test_frames_are_cut_at_any_chunk_size():
    frames = [b"a", b"", b"bcd" * 100]
    stream = b"".join(make_frame(frame) for frame in frames)
    for size in range(1, 20):
        reader = FrameReader()
        found = []
        for start in range(0, len(stream), size):
            found += reader.feed(stream[start : start + size])
        assert found == frames


def test_too_large_frame_is_refused():
    length = (MAX_FRAME_BYTES + 1).to_bytes(4, "big")
    try:
        FrameReader().feed(length)
    except PeerProtocolError:
        pass
    else:
        raise AssertionError("accepted a frame that exceeds the limit")


def test_random_bytes_never_crash_the_decoder():
    source = random.Random(2)
    for size in range(200):
        try:
            decode_body(decode_envelope(source.randbytes(size)))
        except PeerProtocolError:
            continue
