"""Tests of fair shares of client accounts in the queue of a service."""

import random

from mangohatch.core.admission import WaitingCall, WaitQueue
from mangohatch.core.call import Call
from tests.fixtures import make_service
from tests.functions import function_tests

load_tests = function_tests(__name__)

ABUSE = 7.5
USUAL_PER_S = 10.0
SERVED_PER_S = 70.0  # the usual demand of eight accounts is 80
SPAN_MS = 60_000.0
STEP_MS = 1000.0 / SERVED_PER_S
TRIALS = 4  # arrivals of an account in a step, at most


def make_waiting(number, now_ms, account, priority=0, route_priority=0):
    call = Call(
        request_id=f"r{number}",
        service="tablero-misa",
        arrived_ms=now_ms,
        deadline_ms=now_ms + 3_000.0,
        objective_ms=now_ms + 400.0,
        start_by_ms=now_ms + 300.0,
        idempotent=True,
        customer=account,
        account_priority=priority,
        priority=route_priority,
    )
    return WaitingCall(call=call, deliver=lambda decision: None)


def play(rates, priorities, seed):
    """Offer calls at the rates of accounts; return how many of each were served."""
    rng = random.Random(seed)
    queue = WaitQueue(spec=make_service())
    offered, served = dict.fromkeys(rates, 0), dict.fromkeys(rates, 0)
    now_ms = 0.0
    while now_ms < SPAN_MS:
        now_ms += STEP_MS
        for name, per_s in rates.items():
            for _ in range(TRIALS):
                if rng.random() < per_s * STEP_MS / 1000.0 / TRIALS:
                    offered[name] += 1
                    waiting = make_waiting(
                        offered[name], now_ms, name, priorities[name]
                    )
                    queue.offer(waiting, now_ms, STEP_MS)
        queue.expire(now_ms)
        ordered = queue.ordered(now_ms)
        if ordered:
            served[ordered[0].call.customer] += 1
            queue.serve(ordered[0], now_ms)
    return {name: served[name] / offered[name] for name in rates}, offered, served


def test_accounts_keep_half_of_the_common_share_beside_one_that_sends_much_more():
    for seed in range(5):
        rates = {f"a{number}": USUAL_PER_S for number in range(8)}
        rates["a0"] *= ABUSE
        shares, offered, served = play(rates, dict.fromkeys(rates, 1), seed)
        overall = sum(served.values()) / sum(offered.values())
        for name in list(rates)[1:]:
            assert shares[name] >= overall / 2, (seed, name, shares)
        # Without fair shares, all accounts would be served equally often.
        mean = sum(shares[name] for name in list(rates)[1:]) / 7
        assert mean >= 1.1 * shares["a0"], (seed, shares)


def test_more_urgent_accounts_are_served_first():
    rates = {f"a{number}": 2 * USUAL_PER_S for number in range(8)}
    priorities = {name: number // 4 for number, name in enumerate(rates)}
    shares, _, _ = play(rates, priorities, 1)
    urgent = [shares[name] for name in rates if priorities[name] == 0]
    others = [shares[name] for name in rates if priorities[name] == 1]
    assert min(urgent) > 2 * max(others), shares


def test_priority_of_the_account_comes_before_that_of_the_route():
    queue = WaitQueue(spec=make_service())
    queue.offer(make_waiting(1, 0.0, "b", priority=1, route_priority=0), 0.0)
    queue.offer(make_waiting(2, 0.0, "a", priority=0, route_priority=9), 0.0)
    assert [item.call.customer for item in queue.ordered(0.0)] == ["a", "b"]


def test_call_of_a_less_urgent_account_makes_room():
    queue = WaitQueue(spec=make_service())
    now_ms = 0.0
    for number in range(100):
        warm_up = make_waiting(number, now_ms, "w")
        queue.offer(warm_up, now_ms)
        now_ms += 400.0
        queue.serve(warm_up, now_ms)
    refused = None
    while refused is None:
        refused = queue.offer(make_waiting(0, now_ms, "low", priority=2), now_ms)
    refused = queue.offer(make_waiting(1, now_ms, "high", priority=1), now_ms)
    assert refused is not None and refused.call.customer == "low"
