"""Tests of the frames around the bytes of an upstream."""

import socket

from tornado.iostream import IOStream, StreamClosedError

from mangohatch.relay.stream import END, RelayStream, make_frame
from tests.functions import function_tests

load_tests = function_tests(__name__)


def open_pair():
    near, far = socket.socketpair()
    return RelayStream(near), IOStream(far)


async def test_bytes_are_read_without_their_frames():
    stream, far = open_pair()
    body = bytes(range(256)) * 1_000
    far.write(make_frame(body[:7]) + make_frame(body[7:100_000]))
    far.write(make_frame(body[100_000:]))
    assert await stream.read_bytes(len(body)) == body
    far.close()


async def test_frame_that_arrives_byte_by_byte_is_read():
    stream, far = open_pair()
    for byte in make_frame(b"abc"):
        await far.write(bytes([byte]))
    assert await stream.read_bytes(3) == b"abc"
    far.close()


async def test_upstream_that_closes_ends_the_stream_without_an_error():
    stream, far = open_pair()
    far.write(make_frame(b"abc") + END)
    assert await stream.read_until_close() == b"abc"
    assert stream.error is None


async def test_relay_that_breaks_off_looks_like_a_reset():
    for data in (make_frame(b"abc"), make_frame(b"abcdef")[:-3], b"\x00\x00"):
        stream, far = open_pair()
        await far.write(data)
        far.close()
        try:
            await stream.read_bytes(100)
        except StreamClosedError as exc:
            assert isinstance(exc.real_error, ConnectionResetError)
        else:
            raise AssertionError("the stream ended as if the upstream had closed")
