"""Tests of the registry of keyed requests in the store."""

import random
from collections import Counter

from mangohatch.claims import Answer
from mangohatch.claims.record import claim_kind, claim_name
from mangohatch.claims.store_registry import StoreClaimRegistry
from mangohatch.config import ClaimSettings
from mangohatch.errors import (
    ClaimKeyMismatch,
    ClaimUnavailable,
    Outcome,
    OutcomeUnknown,
    RequestError,
    RequestInProgress,
)
from mangohatch.store.metered import CallBudget, MeteredStore
from standins.virtual_loop import LoopClock
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

ANSWER = Answer(status=201, headers=(("X-Hold", "7"),), body=b"booked")
DEADLINE_MS = 5000.0


@fixture
def make_registry(loop, store):
    """
    Return a factory of registries, one for each entry host.

    :return: the factory
    """

    def make(host_id, **changes):
        registry = StoreClaimRegistry(
            host_id=host_id,
            cfg=ClaimSettings(**changes),
            store=store.client("claims"),
            clock=LoopClock(loop=loop),
            rng=random.Random(host_id),
        )
        loop.run_until_complete(registry.start())
        return registry

    return make


def get_claim(objects, key):
    name = claim_name("booking-desk", key)
    return objects.get(claim_kind(name), name)


def begin(loop, registry, *, key="k1", budget_ms=DEADLINE_MS):
    return loop.run_until_complete(
        registry.begin(
            service="booking-desk",
            key=key,
            request_id="r",
            deadline_ms=loop.time() * 1000 + budget_ms,
        )
    )


def fails_with(kind, loop, registry, **options):
    try:
        begin(loop, registry, **options)
    except RequestError as exc:
        assert type(exc) is kind, exc
        return exc
    raise AssertionError(f"no {kind.__name__}")


def finish(loop, ticket, outcome, answer=None):
    loop.run_until_complete(ticket.finish(outcome, answer))


def test_resend_through_another_host_gets_the_first_answer(loop, make_registry):
    ticket = begin(loop, make_registry("e1"))
    other = make_registry("e2")
    exc = fails_with(RequestInProgress, loop, other)
    assert exc.outcome is Outcome.UNKNOWN and exc.retry_after_ms
    finish(loop, ticket, Outcome.DONE, ANSWER)
    loop.run_for(100)
    assert begin(loop, other) == ANSWER


def test_request_that_was_not_run_may_be_claimed_again(loop, make_registry):
    ticket = begin(loop, make_registry("e1"))
    finish(loop, ticket, Outcome.NOT_RUN)
    loop.run_for(100)
    other = make_registry("e2")
    again = begin(loop, other)
    finish(loop, again, Outcome.DONE, ANSWER)
    loop.run_for(100)
    assert begin(loop, make_registry("e3")) == ANSWER


def test_claim_of_a_dead_host_becomes_unknown(loop, make_registry):
    begin(loop, make_registry("e1"))
    loop.run_for(DEADLINE_MS + 2000)
    exc = fails_with(OutcomeUnknown, loop, make_registry("e2"))
    assert exc.outcome is Outcome.UNKNOWN


def test_lost_answer_to_the_claim_still_runs_once(loop, objects, make_registry):
    objects.faults.lost_answers = 1
    first = make_registry("e1")
    assert begin(loop, first)
    fails_with(RequestInProgress, loop, make_registry("e2"))


def test_store_outage_refuses_claims_as_not_run(loop, objects, make_registry):
    registry = make_registry("e1")
    objects.faults.outage = True
    exc = fails_with(ClaimUnavailable, loop, registry)
    assert exc.outcome is Outcome.NOT_RUN and exc.retry_after_ms
    before = sum(objects.calls.values())
    fails_with(ClaimUnavailable, loop, registry)
    assert sum(objects.calls.values()) == before
    objects.faults.outage = False
    loop.run_for(1000)
    assert begin(loop, registry)


def test_abandoned_claim_is_marked_as_not_run(loop, objects, make_registry):
    objects.faults.lost_answers = 5
    objects.faults.stale_revision = 0
    registry = make_registry("e1")
    fails_with(ClaimUnavailable, loop, registry, budget_ms=300)
    assert objects.revision == 1
    objects.faults.lost_answers = 0
    objects.faults.stale_revision = None
    loop.run_for(20_000)
    assert get_claim(objects, "k1").value["state"] == "not_run"
    assert begin(loop, make_registry("e2"))


def test_result_is_written_when_the_outage_ends(loop, objects, make_registry):
    registry = make_registry("e1")
    ticket = begin(loop, registry)
    objects.faults.outage = True
    finish(loop, ticket, Outcome.DONE, ANSWER)
    loop.run_for(60_000)
    assert begin(loop, registry) == ANSWER
    objects.faults.outage = False
    loop.run_for(10_000)
    assert registry.results.pending == 0
    assert begin(loop, make_registry("e2")) == ANSWER


def test_waiting_results_limit_new_claims(loop, objects, make_registry):
    registry = make_registry("e1", pending_results=1)
    ticket = begin(loop, registry)
    objects.faults.outage = True
    finish(loop, ticket, Outcome.DONE, ANSWER)
    loop.run_for(100)
    calls = sum(objects.calls.values())
    fails_with(ClaimUnavailable, loop, registry, key="k2")
    assert sum(objects.calls.values()) == calls


def test_leaving_host_writes_its_results_first(loop, objects, make_registry):
    registry = make_registry("e1")
    ticket = begin(loop, registry)
    finish(loop, ticket, Outcome.DONE, ANSWER)
    assert loop.run_until_complete(registry.stop(1000)) == 0
    fails_with(ClaimUnavailable, loop, registry, key="k2")
    assert begin(loop, make_registry("e2")) == ANSWER


def test_large_body_is_not_kept(loop, make_registry):
    registry = make_registry("e1", body_bytes=3)
    finish(loop, begin(loop, registry), Outcome.DONE, ANSWER)
    loop.run_for(100)
    assert begin(loop, make_registry("e2")).body is None


def test_claim_object_of_another_key_is_rejected(loop, objects, make_registry):
    registry = make_registry("e1")
    begin(loop, registry, key="other")
    name = claim_name("booking-desk", "k1")
    objects.put(claim_kind(name), name, get_claim(objects, "other").value, None)
    fails_with(ClaimKeyMismatch, loop, registry)


def test_store_calls_in_an_outage_are_bounded(loop, objects, make_registry):
    registry = make_registry("e1")
    tickets = [begin(loop, registry, key=f"k{number}") for number in range(50)]
    objects.faults.outage = True
    for ticket in tickets:
        finish(loop, ticket, Outcome.DONE, ANSWER)
    loop.run_for(30_000)
    before = sum(objects.calls.values())
    for number in range(600):
        fails_with(ClaimUnavailable, loop, registry, key=f"new{number}", budget_ms=400)
        loop.run_for(100)
    calls_per_second = (sum(objects.calls.values()) - before) / 60
    assert calls_per_second <= 1.0
    assert registry.results.pending < 100
    objects.faults.outage = False
    loop.run_for(20_000)
    assert registry.results.pending == 0


def test_exhausted_budget_does_not_block_later_claims(loop, store):
    clock = LoopClock(loop=loop)
    metered = MeteredStore(
        store=store,
        role="claims",
        budget=CallBudget(per_second=10.0, clock=clock),
        calls=Counter(),
    )
    registry = StoreClaimRegistry(
        host_id="e1",
        cfg=ClaimSettings(),
        store=metered,
        clock=clock,
        rng=random.Random(1),
    )
    claimed = 0
    for number in range(100):
        try:
            begin(loop, registry, key=f"k{number}")
            claimed += 1
        except ClaimUnavailable as exc:
            assert exc.outcome is Outcome.NOT_RUN
            assert exc.retry_after_ms <= 100.0
        loop.run_for(50)
    assert claimed >= 50
