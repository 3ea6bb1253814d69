"""Tests of callers that send or read too slowly."""

import asyncio

from tests.entry.harness import fixed, open_entry, request, wait_until
from tests.functions import function_tests

load_tests = function_tests(__name__)


async def answer(upstream, message, writer):
    writer.write(fixed())


async def wait_until_read(entry) -> None:
    """Wait until the entry server has started reading on each connection."""
    await wait_until(lambda: not entry.server.idle_sessions())


async def wait_until_sent(entry) -> None:
    """Wait until an attempt has begun to send a request."""
    await wait_until(lambda: any(req.may_have_run for req in entry.forwarder.active))


async def wait_until_received(entry, size) -> None:
    """Wait until the entry server has read the sent part of a body and needs more."""
    await wait_until(
        lambda: any(
            session.received_bytes >= min(size, 65_536) and session.stream.reading()
            for session in entry.server.sessions
        )
    )


async def test_partial_head_is_refused_after_the_head_timeout():
    async with open_entry(answer) as (entry, upstreams):
        caller = await entry.connect()
        await caller.send(request()[:20])
        await wait_until_read(entry)
        entry.pass_time(10_000)
        entry.pass_time(1_000)
        response = await caller.read()
        assert response.status == 408
        assert response.headers["x-error-code"] == "request_timeout"
        assert response.headers["x-outcome"] == "not_run"


async def test_idle_connection_is_closed_without_an_answer():
    async with open_entry(answer) as (entry, upstreams):
        caller = await entry.connect()
        assert (await caller.fetch()).status == 200
        entry.pass_time(60_000)
        assert (await caller.fetch()).status == 200
        entry.pass_time(76_000)
        assert await caller.read_to_end() == b""


async def test_body_that_stops_is_refused_and_frees_the_upstream():
    for size, outcome in ((10, "not_run"), (1_000_000, "unknown")):
        async with open_entry(answer) as (entry, upstreams):
            caller = await entry.connect()
            fields = {"Content-Length": str(size), "X-Deadline-Ms": "60000"}
            await caller.send(request(method="POST", **fields))
            await caller.send(b"x" * (size // 2))
            await wait_until_received(entry, size // 2)
            if outcome == "unknown":
                await wait_until_sent(entry)
            entry.pass_time(9_000)
            entry.pass_time(11_000)
            response = await caller.read()
            assert response.status == 408
            assert response.headers["x-outcome"] == outcome
            assert entry.in_flight() == 0


async def test_caller_that_does_not_read_is_disconnected():
    async def send_large_response(upstream, message, writer):
        writer.write(fixed(b"x" * 20_000_000))

    async with open_entry(send_large_response) as (entry, upstreams):
        caller = await entry.connect()
        await caller.send(request())
        while not any(req.sink.is_write_pending for req in entry.forwarder.active):
            await asyncio.sleep(0)
        for _ in range(5):
            entry.pass_time(20_000)
            for _ in range(10):
                await asyncio.sleep(0)
        while entry.forwarder.active:
            await asyncio.sleep(0)
        assert entry.in_flight() == 0
