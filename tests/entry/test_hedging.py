"""Tests of two attempts of one request at once."""

import asyncio

from mangohatch.core.call import Result
from mangohatch.core.hedging import HedgePolicy, HedgeShare, HedgeSystem
from mangohatch.core.retry import RetryBudget
from mangohatch.entry.observer import NoObserver
from tests.entry.harness import TIMEOUT_S, fixed, open_entry, request
from tests.functions import function_tests

load_tests = function_tests(__name__)

WAIT_MS = 20.0


class AlwaysLate(HedgePolicy):
    def is_late(self, grant):
        return True

    def is_sooner(self, grant, hedge):
        return True


def make_hedges(ratio=1.0):
    return HedgeSystem(
        policy=AlwaysLate(),
        share=HedgeShare(ratio=ratio),
        is_suspected=lambda call: False,
        has_waiting=lambda service: False,
    )


class HedgesOnly(RetryBudget):
    def earn(self, call):
        return None

    def allow(self, call):
        return True

    def request(self, call, deliver):
        deliver(False)


class LastEnded(NoObserver):
    req = None

    def on_ended(self, req, error):
        self.req = req


class Scripted:
    """Upstreams that answer when told to; ``received`` lists them by arrival."""

    def __init__(self):
        self.received = []
        self.writers = []
        self.arrived = asyncio.Condition()

    async def __call__(self, upstream, message, writer):
        async with self.arrived:
            self.received.append(upstream)
            self.writers.append(writer)
            self.arrived.notify_all()

    async def wait_for(self, count):
        async with self.arrived:
            reached = self.arrived.wait_for(lambda: len(self.received) >= count)
            await asyncio.wait_for(reached, TIMEOUT_S)


def open_race(script, *, upstreams=3, ratio=1.0, **parts):
    hedges = make_hedges(ratio)
    return open_entry(*[script] * upstreams, hedges=hedges, **parts), hedges


async def start_race(entry, script, **fields):
    caller = await entry.connect()
    await caller.send(request(**fields))
    await script.wait_for(1)
    entry.pass_time(WAIT_MS)
    await script.wait_for(2)
    assert script.received[0] is not script.received[1]
    return caller


async def settle(entry):
    for _ in range(200):
        if not entry.in_flight() and not entry.forwarder.active:
            return
        await asyncio.sleep(0.005)
    raise AssertionError("attempts are still in flight")


async def test_first_valid_head_wins_and_the_loser_is_closed():
    for winner in (0, 1):
        script = Scripted()
        observer = LastEnded()
        opening, hedges = open_race(script, observer=observer)
        async with opening as (entry, _):
            caller = await start_race(entry, script)
            script.writers[winner].write(fixed(b"winner"))
            response = await caller.read()
            assert (response.status, response.body) == (200, b"winner")
            loser = script.received[1 - winner]
            await asyncio.wait_for(loser.disconnected.wait(), TIMEOUT_S)
            await settle(entry)
            assert sorted(entry.take_results()) == [Result.OK, Result.SUPERSEDED]
            rows = {row.name: row for row in entry.tables.upstreams()}
            assert entry.pool.open_count(rows[loser.name]) == 0
            assert (hedges.sent, hedges.won) == (1, winner)
            names = [upstream.name for upstream in script.received]
            assert observer.req.hedged == (*names, names[winner])
            assert observer.req.upstream.name == names[winner]


async def test_late_response_of_the_loser_reaches_no_caller():
    script = Scripted()
    opening, _ = open_race(script)
    async with opening as (entry, _):
        caller = await start_race(entry, script)
        script.writers[1].write(fixed(b"winner"))
        script.writers[0].write(fixed(b"loser"))
        assert (await caller.read()).body == b"winner"
        await caller.send(request())
        await script.wait_for(3)
        script.writers[2].write(fixed(b"second"))
        assert (await caller.read()).body == b"second"


async def test_partial_head_does_not_win():
    script = Scripted()
    opening, _ = open_race(script)
    async with opening as (entry, _):
        caller = await start_race(entry, script)
        script.writers[0].write(b"HTTP/1.1 200 X\r\nContent-Le")
        await asyncio.sleep(0.02)
        script.writers[1].write(fixed(b"whole"))
        assert (await caller.read()).body == b"whole"


async def test_if_one_attempt_fails_the_other_goes_on():
    for failing in (0, 1):
        for failure in (b"", b"garbage\r\n\r\n", fixed(status=500)):
            script = Scripted()
            opening, _ = open_race(script, upstreams=2)
            async with opening as (entry, _):
                caller = await start_race(entry, script)
                script.writers[failing].write(failure)
                script.writers[failing].close()
                await asyncio.sleep(0.02)
                script.writers[1 - failing].write(fixed(b"other"))
                response = await caller.read()
                assert (response.status, response.body) == (200, b"other")
                await settle(entry)
                assert len(script.received) == 2


async def test_failure_of_both_attempts_is_unknown_unless_neither_ran():
    refusal = fixed(status=503, X_Outcome="not_run")
    cases = [
        ((b"", b""), "unknown"),
        ((refusal, b""), "unknown"),
        ((b"", refusal), "unknown"),
        ((refusal, refusal), "not_run"),
    ]
    for answers, outcome in cases:
        script = Scripted()
        opening, _ = open_race(script, upstreams=2, budget=HedgesOnly())
        async with opening as (entry, _):
            caller = await start_race(entry, script)
            for writer, answer in zip(script.writers, answers, strict=True):
                writer.write(answer)
                writer.close()
                await asyncio.sleep(0.02)
            response = await caller.read()
            assert response.headers["x-outcome"] == outcome, (answers, outcome)
            await settle(entry)


async def test_both_attempts_end_when_the_caller_leaves():
    script = Scripted()
    opening, _ = open_race(script)
    async with opening as (entry, _):
        caller = await start_race(entry, script)
        caller.writer.close()
        for upstream in script.received:
            await asyncio.wait_for(upstream.disconnected.wait(), TIMEOUT_S)
        await settle(entry)
        assert entry.take_results() == [Result.CANCELLED] * 2


async def test_both_attempts_end_at_the_deadline():
    script = Scripted()
    opening, _ = open_race(script)
    async with opening as (entry, _):
        caller = await start_race(entry, script)
        entry.pass_time(1000.0)
        response = await caller.read()
        assert response.headers["x-outcome"] == "unknown"
        await settle(entry)
        assert len(script.received) == 2


async def test_truncated_response_of_the_winner_is_not_completed_by_the_loser():
    script = Scripted()
    opening, _ = open_race(script, upstreams=2)
    async with opening as (entry, _):
        caller = await start_race(entry, script)
        script.writers[1].write(fixed(b"winner")[:-3])
        await asyncio.sleep(0.02)
        script.writers[1].close()
        script.writers[0].write(fixed(b"loser!"))
        assert not (await caller.read()).complete
        await settle(entry)


async def test_no_second_attempt_where_none_is_allowed():
    unsafe = dict(method="POST", body=b"book")
    for ratio, fields, hedged in (
        (1.0, {}, True),
        (0.0, {}, False),
        (1.0, unsafe, False),
    ):
        script = Scripted()
        opening, hedges = open_race(script, ratio=ratio)
        async with opening as (entry, _):
            caller = await entry.connect()
            await caller.send(request(**fields))
            await script.wait_for(1)
            for _ in range(3):
                entry.pass_time(WAIT_MS)
                await asyncio.sleep(0.02)
            assert len(script.received) == 1 + hedged
            assert sum(hedges.refused.values()) == (ratio > 0 and not hedged)
            script.writers[0].write(fixed())
            assert (await caller.read()).status == 200
