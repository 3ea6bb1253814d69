"""Tests of the requests that a caller resends, and of request plans."""

import contextlib
import random

from mangohatch.clock import SystemClock
from standins.caller import (
    AttemptResult,
    Balancer,
    Caller,
    PlannedRequest,
    RequestKind,
    make_plan,
)
from standins.caller.plan import Stream
from standins.upstream import Behaviour, Upstream
from tests.functions import function_tests

load_tests = function_tests(__name__)


@contextlib.contextmanager
def running_pair(**behaviour):
    clock = SystemClock()
    rng = random.Random(1)
    bad = Upstream(name="bad", seed=1, clock=clock, behaviour=Behaviour(**behaviour))
    good = Upstream(name="good", seed=1, clock=clock)
    balancer = Balancer(rng=rng)
    for upstream in (bad, good):
        balancer.add(("127.0.0.1", upstream.listen(0)))
    balancer.choose = lambda avoid: balancer.addresses[1 if avoid else 0]
    try:
        yield Caller(balancer=balancer, clock=clock, rng=rng), bad, good
    finally:
        balancer.close()
        bad.close()
        good.close()


def make_request(kind, *, crash=False):
    return PlannedRequest(
        request_id="r1",
        kind=kind,
        at_ms=0.0,
        path="/desk/r1",
        work_ms=0.0,
        deadline_ms=5000.0,
        crashes_upstream=crash,
    )


async def test_refused_request_is_sent_again_elsewhere():
    with running_pair(draining=True, drain_grace_ms=0) as (caller, bad, good):
        for kind in RequestKind:
            if kind is not RequestKind.DOWNLOAD:
                record = await caller.send(make_request(kind))
                results = [attempt.result for attempt in record.attempts]
                assert results == [AttemptResult.NOT_RUN, AttemptResult.DONE]
        assert (bad.ledger.total, good.ledger.total) == (0, 3)


async def test_unkeyed_confirmation_is_not_sent_again_after_a_break():
    with running_pair() as (caller, _, good):
        record = await caller.send(make_request(RequestKind.UNKEYED, crash=True))
        assert [item.result for item in record.attempts] == [AttemptResult.BROKEN]
        assert good.ledger.total == 0


def test_plan_repeats_by_seed_and_keeps_its_rate():
    stream = Stream(
        service="desk",
        kind=RequestKind.LOOKUP,
        per_second=100.0,
        work_ms=8.0,
        deadline_ms=1000.0,
    )
    one, two = (
        make_plan([stream], duration_ms=20_000.0, name="t", seed=3) for _ in range(2)
    )
    assert one == two
    assert 1800 < len(one) < 2200
    assert len({request.request_id for request in one}) == len(one)
