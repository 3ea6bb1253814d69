"""Tests of relayed connections to upstreams whose zone is evacuated."""

import asyncio
import contextlib
import socket

from tornado.iostream import IOStream, StreamClosedError

from mangohatch.relay.server import relay
from mangohatch.relay.stream import RelayStream
from tests.functions import function_tests

load_tests = function_tests(__name__)

END_S = 5.0


async def test_request_in_flight_completes_and_the_next_one_is_not_passed_on():
    near, peer = map(IOStream, socket.socketpair())
    connection, upstream = map(IOStream, socket.socketpair())
    caller = RelayStream(near.socket)
    evacuated = False
    relaying = asyncio.create_task(relay(peer, connection, is_closed=lambda: evacuated))
    await caller.write(b"one")
    received = await upstream.read_bytes(3)
    evacuated = True
    await caller.write(b"+")
    received += await upstream.read_bytes(1)
    await upstream.write(b"answer")
    assert await caller.read_bytes(6) == b"answer"
    await caller.write(b"two")
    async with asyncio.timeout(END_S):
        await relaying
    connection.close()
    with contextlib.suppress(StreamClosedError):
        received += await upstream.read_until_close()
    assert received == b"one+"
