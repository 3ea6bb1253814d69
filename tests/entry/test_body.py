"""Tests of buffering the beginning of a request body."""

import asyncio

from mangohatch.entry.body import REPLAY_BYTES, RequestBody
from mangohatch.entry.replay_memory import ReplayMemory
from mangohatch.errors import CallerGone
from tests.entry.harness import TIMEOUT_S, fixed, open_entry
from tests.functions import function_tests

load_tests = function_tests(__name__)


async def read_pieces(content, size):
    """Pass a body to its buffer in pieces until the rest has to be streamed."""
    body = RequestBody()
    reading = asyncio.ensure_future(feed(body, content, size))
    await body.prefetch()
    rest = b"".join([chunk async for chunk in body.rest()])
    await reading
    return body.beginning, rest


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


UPLOAD = bytes(range(256)) * 1_440  # 360 KB


async def send_rest(body, size=None):
    """Stream the rest of a body like an attempt, which may break off."""
    sent = b""
    async for chunk in body.rest():
        sent += chunk
        if size is not None and len(sent) >= size:
            break
    return sent


def test_long_body_can_be_sent_again_after_any_part_of_it():
    async def run(size):
        memory = ReplayMemory()
        body = RequestBody(memory=memory)
        feeding = asyncio.ensure_future(feed(body, UPLOAD, 10_000))
        await body.prefetch()
        await send_rest(body, size)
        assert body.replayable
        assert body.beginning + await send_rest(body) == UPLOAD
        await feeding
        assert memory.used_bytes == len(UPLOAD) - REPLAY_BYTES
        body.release()
        assert memory.used_bytes == 0

    for size in (1, 100_000, None):
        asyncio.run(run(size))


def test_bodies_of_a_host_stay_within_their_memory_and_arrive_whole():
    async def run():
        memory = ReplayMemory(limit_bytes=500_000)
        bodies = [RequestBody(memory=memory) for _ in range(8)]
        feeding = [asyncio.ensure_future(feed(body, UPLOAD, 10_000)) for body in bodies]
        await asyncio.sleep(0.0)
        for body in bodies:
            assert memory.used_bytes <= 500_000
            await body.prefetch()
            assert body.replayable
            assert body.beginning + await send_rest(body) == UPLOAD
            body.release()
        await asyncio.gather(*feeding)
        assert memory.used_bytes == 0
        assert not all(body.replayable for body in bodies)

    asyncio.run(run())


def test_body_that_breaks_off_ends_its_attempt():
    async def run():
        body = RequestBody()
        await body.data_received(UPLOAD[:100_000])
        sending = asyncio.ensure_future(send_rest(body))
        await asyncio.sleep(0.0)
        body.fail(CallerGone("the caller left"))
        try:
            await sending
        except CallerGone:
            return
        raise AssertionError("the attempt ended as if the body were whole")

    asyncio.run(run())


def test_upload_that_was_not_run_is_sent_on_whole():
    async def not_run(upstream, message, writer):
        writer.write(fixed(status=503, X_Outcome="not_run"))

    async def store(upstream, message, writer):
        writer.write(fixed(message.body[-5:]))

    async def run():
        async with open_entry(not_run, store) as (entry, upstreams):
            caller = await entry.connect()
            for _ in range(4):
                async with asyncio.timeout(TIMEOUT_S):
                    response = await caller.fetch(method="POST", body=UPLOAD)
                assert (response.status, response.body) == (200, UPLOAD[-5:])
            for message in upstreams[1].requests:
                assert message.complete and message.body == UPLOAD
            assert upstreams[0].requests
            assert entry.server.replay_memory.used_bytes == 0

    asyncio.run(run())


def test_released_body_keeps_no_bytes_and_never_looks_whole():
    # Bodies of ended requests stayed in memory until a late collection of garbage.
    async def run():
        memory = ReplayMemory()
        body = RequestBody(memory=memory)
        await feed(body, UPLOAD, 65_536)
        assert memory.used_bytes
        body.release()
        assert not body.beginning and not body._kept and not memory.used_bytes
        try:
            await send_rest(body)
        except CallerGone:
            return
        raise AssertionError("the rest of a released body ended as if it were whole")

    asyncio.run(run())
