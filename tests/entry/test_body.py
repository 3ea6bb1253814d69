"""Tests of buffering the beginning of a request body."""

import asyncio

from mangohatch.entry.body import REPLAY_BYTES, RequestBody
from tests.functions import function_tests

load_tests = function_tests(__name__)


async def read_pieces(content, size):
    """Pass a body to its buffer in pieces until the rest has to be streamed."""
    body = RequestBody()
    reading = asyncio.ensure_future(feed(body, content, size))
    await body.prefetch()
    rest = b"".join([chunk async for chunk in body.rest()])
    await reading
    return bytes(body.replay_prefix), rest


async def feed(body, content, size):
    for first in range(0, len(content), size):
        await body.data_received(content[first : first + size])
    body.end()


def test_buffered_beginning_of_a_long_body_does_not_depend_on_its_pieces():
    content = bytes(range(256)) * (REPLAY_BYTES // 128)
    for size in (1_000, 50_000, 65_536, 100_000, len(content)):
        prefix, rest = asyncio.run(read_pieces(content, size))
        assert prefix == content[:REPLAY_BYTES], f"pieces of {size} bytes"
        assert prefix + rest == content
