"""Tests of the budget of store calls and of the backoff."""

from collections import Counter

from mangohatch.errors import StoreBudgetExhausted
from mangohatch.store.backoff import Backoff
from mangohatch.store.metered import CallBudget, MeteredStore
from tests.functions import function_tests

load_tests = function_tests(__name__)

CALLS_PER_SECOND = 5.0


def test_calls_stay_within_the_budget(loop, clock, store, objects):
    calls = Counter()
    metered = MeteredStore(
        store=store,
        role="claims",
        budget=CallBudget(per_second=CALLS_PER_SECOND, clock=clock),
        calls=calls,
    )

    async def call_often():
        for _ in range(200):
            clock.advance(50.0)
            try:
                await metered.get("claim", "a")
            except StoreBudgetExhausted as exc:
                assert exc.retry_after_ms > 0

    loop.run_until_complete(call_often())
    burst = 2 * CALLS_PER_SECOND
    assert calls[("claims", "get")] <= CALLS_PER_SECOND * 10 + burst
    assert calls[("claims", "get")] == objects.calls[("test", "get")]
    assert calls[("claims", "refused")] > 0


def test_backoff_grows_to_its_limit_and_resets(rng):
    backoff = Backoff(first_ms=10.0, limit_ms=50.0, rng=rng)
    delays = [backoff.next_ms() for _ in range(10)]
    assert 5.0 <= delays[0] <= 10.0
    assert all(25.0 <= delay <= 50.0 for delay in delays[4:])
    assert len(set(delays)) == len(delays)
    backoff.reset()
    assert backoff.next_ms() <= 10.0
