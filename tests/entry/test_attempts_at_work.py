"""Tests of slow attempts whose upstream may be at work."""

import asyncio
import contextlib

from mangohatch.core.call import Result
from mangohatch.core.retry import RetryBudget
from tests.entry.harness import fixed, open_entry, request
from tests.entry.test_silence import PAST_LIMIT_MS, WARM_UP_REQUESTS, warm_up
from tests.functions import function_tests

load_tests = function_tests(__name__)

DEADLINE_MS = 1_000.0
REPEATED_MS = 100.0


class Budget(RetryBudget):
    """Decides about retries when the test says so."""

    def __init__(self):
        self.asked = []

    def earn(self, call):
        pass

    def allow(self, call):
        return False

    def request(self, call, deliver):
        self.asked.append(deliver)


class Work:
    """Answers at once, but for one request, which it answers when the test says so."""

    def __init__(self):
        self.begun = asyncio.Event()
        self.writer = None
        self.slow_after = WARM_UP_REQUESTS

    async def __call__(self, upstream, message, writer):
        if len(upstream.requests) <= self.slow_after or self.begun.is_set():
            writer.write(fixed())
            return
        self.writer = writer
        self.begun.set()
        await asyncio.Event().wait()

    def answer(self):
        self.writer.write(fixed(b"done"))


@contextlib.asynccontextmanager
async def open_slow_request(*scripts):
    """Yield an entry whose upstream is at work on a request past the silence limit."""
    work = Work()
    budget = Budget()
    async with open_entry(work, *scripts, budget=budget) as (entry, upstreams):
        for row in entry.tables.upstreams():
            row.in_flight = 0 if row.name == "u1" else 1
        caller = await entry.connect()
        await warm_up(entry, caller)
        await caller.send(request())
        reading = asyncio.create_task(caller.read())
        await work.begun.wait()
        entry.pass_time(PAST_LIMIT_MS)
        yield entry, work, budget, reading
        for deliver in budget.asked:
            deliver(False)


async def other(upstream, message, writer):
    writer.write(fixed(b"other"))


async def test_attempt_goes_on_until_its_retry_is_permitted():
    async with open_slow_request(other) as (entry, work, budget, reading):
        assert len(budget.asked) == 1
        entry.pass_time(REPEATED_MS)
        assert len(budget.asked) == 1
        work.answer()
        response = await reading
        assert (response.status, response.body) == (200, b"done")


async def test_attempt_goes_on_after_its_retry_was_refused():
    async with open_slow_request(other) as (entry, work, budget, reading):
        budget.asked.pop()(False)
        entry.pass_time(REPEATED_MS)
        work.answer()
        response = await reading
        assert (response.status, response.body) == (200, b"done")


async def test_retry_that_was_refused_is_asked_for_again():
    async with open_slow_request(other) as (entry, work, budget, reading):
        budget.asked.pop()(False)
        for _ in range(3):
            entry.pass_time(REPEATED_MS)
        assert len(budget.asked) == 1
        budget.asked.pop()(True)
        response = await reading
        assert response.status == 200


async def test_attempt_ends_once_its_retry_is_permitted():
    async with open_slow_request(other) as (entry, work, budget, reading):
        budget.asked.pop()(True)
        assert (await reading).status == 200
        assert not budget.asked


async def test_attempt_on_a_kept_connection_goes_on_beside_its_retry():
    """A caller got 502 although its upstream was at work (review/3, real processes)."""
    retry = Work()
    retry.slow_after = 0
    async with open_slow_request(retry) as (entry, work, budget, reading):
        budget.asked.pop()(True)
        await retry.begun.wait()
        work.answer()
        response = await reading
        assert (response.status, response.body) == (200, b"done")


async def test_attempt_on_a_kept_connection_goes_on_while_its_retry_waits():
    async with open_slow_request(other) as (entry, work, budget, reading):
        for row in entry.tables.upstreams():
            row.in_flight = row.slots
        budget.asked.pop()(True)
        for _ in range(3):
            entry.pass_time(REPEATED_MS)
            await asyncio.sleep(0)
        work.answer()
        response = await reading
        assert (response.status, response.body) == (200, b"done")


async def test_attempt_on_a_kept_connection_ends_once_its_retry_answers():
    retry = Work()
    retry.slow_after = 0
    async with open_slow_request(retry) as (entry, work, budget, reading):
        budget.asked.pop()(True)
        await retry.begun.wait()
        retry.answer()
        response = await reading
        assert (response.status, response.body) == (200, b"done")
        assert Result.SILENT in entry.take_results()


async def test_permission_that_comes_after_the_answer_ends_nothing():
    async with open_slow_request(other) as (entry, work, budget, reading):
        work.answer()
        await reading
        budget.asked.pop()(True)
        await asyncio.sleep(0)
        assert entry.in_flight() == 1  # what the test had set


async def test_attempt_on_a_host_that_stops_goes_on():
    async with open_slow_request(other) as (entry, work, budget, reading):
        budget.asked.pop()(False)
        entry.forwarder.answer_by_ms = entry.clock.now_ms() + DEADLINE_MS
        for _ in range(3):
            entry.pass_time(REPEATED_MS)
        assert not budget.asked
        work.answer()
        response = await reading
        assert (response.status, response.body) == (200, b"done")


async def test_late_attempt_on_a_new_connection_goes_on_without_another_upstream():
    work = Work()

    async def close_after(upstream, message, writer):
        if len(upstream.requests) <= WARM_UP_REQUESTS:
            writer.write(fixed(Connection="close"))
            return
        await work(upstream, message, writer)

    budget = Budget()
    async with open_entry(close_after, budget=budget) as (entry, upstreams):
        caller = await entry.connect()
        await warm_up(entry, caller)
        await caller.send(request())
        reading = asyncio.create_task(caller.read())
        await work.begun.wait()
        entry.pass_time(3 * PAST_LIMIT_MS)
        assert not budget.asked
        work.answer()
        assert (await reading).body == b"done"
