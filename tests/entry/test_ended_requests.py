"""Tests that a request ends with its deadline and its caller, whatever it waits for."""

import asyncio

from tests.entry.harness import TIMEOUT_S, fixed, open_entry, request
from tests.entry.test_slow_callers import wait_until_received
from tests.functions import function_tests

load_tests = function_tests(__name__)

DEADLINE_MS = 1_000.0  # of the test service


async def answer(upstream, message, writer):
    writer.write(fixed())


async def test_body_that_stops_is_refused_at_the_deadline():
    # The caller of a body that stopped within its beginning got no answer until the
    # body had made no progress for ten seconds.
    for size in (10, 1_000_000):
        async with open_entry(answer) as (entry, upstreams):
            caller = await entry.connect()
            fields = {"Content-Length": str(size)}
            await caller.send(request(method="POST", **fields) + b"xxx")
            async with asyncio.timeout(TIMEOUT_S):
                await wait_until_received(entry, 3)
            entry.pass_time(DEADLINE_MS - 1.0)
            entry.pass_time(300.0)
            response = await caller.read()
            assert response.headers["x-error-code"] == "request_timeout"
            assert response.headers["x-outcome"] == "not_run"
            assert not upstreams[0].requests


async def test_body_that_trickles_is_refused_at_the_deadline():
    async with open_entry(answer) as (entry, upstreams):
        caller = await entry.connect()
        await caller.send(request(method="POST", **{"Content-Length": "100"}))
        for number in range(1, 5):
            await caller.send(b"x")
            async with asyncio.timeout(TIMEOUT_S):
                await wait_until_received(entry, number)
            entry.pass_time(DEADLINE_MS / 4)
        response = await caller.read()
        assert response.headers["x-error-code"] == "request_timeout"
