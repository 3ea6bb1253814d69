"""Tests of draining: new requests are refused, requests in flight complete."""

import asyncio
import socket

from tests.entry.harness import (
    LOOPBACK,
    fixed,
    open_entry,
    read_message,
    request,
    wait_until,
)
from tests.functions import function_tests

load_tests = function_tests(__name__)

BALANCER_DELAY_MS = 3000.0
SESSION_CHECK_MS = 250.0
ANSWER_BY_MS = 5_300.0
LONG = {"X_Deadline_Ms": "60000"}


class GatedResponse:
    """A script that delays the second half of a response until it is released."""

    def __init__(self) -> None:
        self.released = asyncio.Event()

    async def __call__(self, upstream, message, writer) -> None:
        whole = fixed(b"x" * 1000)
        writer.write(whole[:-500])
        await self.released.wait()
        writer.write(whole[-500:])


async def test_requests_are_served_until_the_balancer_delay_has_passed():
    async def answer(upstream, message, writer):
        writer.write(fixed())

    async with open_entry(answer) as (entry, upstreams):
        caller = await entry.connect()
        port = entry.server.port
        entry.server.begin_drain()
        assert not entry.server.ready
        entry.pass_time(BALANCER_DELAY_MS - 1)
        assert (await caller.fetch()).status == 200
        late = await entry.connect()
        assert (await late.fetch()).status == 200
        entry.pass_time(1)
        assert await caller.read_to_end() == b""
        assert await late.read_to_end() == b""
        try:
            await asyncio.open_connection("127.0.0.1", port)
        except ConnectionRefusedError:
            pass
        else:
            raise AssertionError("a connection was accepted")
        await wait_until(entry.server.drained)


async def test_request_that_no_one_had_read_when_accepting_ended_is_answered():
    async def answer(upstream, message, writer):
        writer.write(fixed())

    async with open_entry(answer) as (entry, upstreams):
        kept = await entry.connect()
        assert (await kept.fetch()).status == 200
        unaccepted = socket.create_connection((LOOPBACK, entry.server.port))
        unaccepted.sendall(request())
        silent = socket.create_connection((LOOPBACK, entry.server.port))
        kept.writer.write(request())
        entry.server.begin_drain()
        entry.pass_time(BALANCER_DELAY_MS)
        assert (await read_message(kept.reader)).status == 200
        reader, writer = await asyncio.open_connection(sock=unaccepted)
        assert (await read_message(reader)).status == 200
        writer.close()
        entry.pass_time(SESSION_CHECK_MS)
        await wait_until(entry.server.drained)
        silent.close()


async def test_drain_waits_for_a_long_download():
    response_gate = GatedResponse()
    async with open_entry(response_gate) as (entry, upstreams):
        caller = await entry.connect()
        await caller.send(request())
        await upstreams[0].arrived.wait()
        entry.server.begin_drain()
        await caller.reader.readuntil(b"\r\n\r\n")
        for _ in range(60):
            entry.pass_time(10_000)
            # Simulates an upstream that keeps sending, so that no stall is detected.
            for req in entry.forwarder.active:
                req.conn.record_activity()
        assert not entry.server.drained()
        response_gate.released.set()
        assert len(await caller.reader.readexactly(1000)) == 1000
        assert await caller.read_to_end() == b""
        await wait_until(entry.server.drained)


async def test_response_during_a_drain_closes_the_connection():
    response_gate = GatedResponse()
    async with open_entry(response_gate) as (entry, upstreams):
        caller = await entry.connect()
        await caller.send(request()[:10])
        while entry.server.idle_sessions():
            await asyncio.sleep(0)
        entry.server.begin_drain()
        entry.pass_time(BALANCER_DELAY_MS)
        response_gate.released.set()
        await caller.send(request()[10:])
        response = await caller.read()
        assert response.complete
        assert response.headers["connection"] == "close"
        assert await caller.read_to_end() == b""


async def test_request_that_outlasts_a_planned_stop_is_answered_before_its_end():
    async def keep_waiting(upstream, message, writer):
        await asyncio.Event().wait()

    async with open_entry(keep_waiting) as (entry, upstreams):
        early, late = await entry.connect(), await entry.connect()
        await early.send(request(method="POST", body=b"1", **LONG))
        await wait_until(lambda: len(upstreams[0].requests) == 1)
        entry.server.begin_drain(answer_by_ms=entry.clock.now_ms() + ANSWER_BY_MS)
        entry.pass_time(BALANCER_DELAY_MS - 1)
        await late.send(request(method="POST", body=b"2", **LONG))
        await wait_until(lambda: len(upstreams[0].requests) == 2)
        # The upstream is told to stop its work by then.
        left_ms = float(upstreams[0].requests[1].headers["x-deadline-ms"])
        assert left_ms <= ANSWER_BY_MS - BALANCER_DELAY_MS + 1
        entry.pass_time(ANSWER_BY_MS - BALANCER_DELAY_MS + 1)
        for caller in (early, late):
            response = await caller.read()
            assert response.status == 504
            assert response.headers["x-outcome"] == "unknown"
        await wait_until(entry.server.drained)


async def test_request_that_still_waits_at_the_end_of_a_planned_stop_is_refused():
    async def keep_waiting(upstream, message, writer):
        await asyncio.Event().wait()

    async with open_entry(keep_waiting) as (entry, upstreams):
        callers = [await entry.connect() for _ in range(3)]
        for caller in callers:
            await caller.send(request(method="POST", body=b"1", **LONG))
        await wait_until(lambda: len(entry.forwarder.active) == 3)
        entry.server.begin_drain(answer_by_ms=entry.clock.now_ms() + ANSWER_BY_MS)
        entry.pass_time(ANSWER_BY_MS)
        responses = [await caller.read() for caller in callers]
        not_run = [item for item in responses if item.headers["x-outcome"] == "not_run"]
        assert len(not_run) == 3 - len(upstreams[0].requests)
        assert all(item.status == 503 for item in not_run)
        assert not_run
