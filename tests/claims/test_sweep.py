"""Tests of the deletion of expired claims."""

import asyncio
import random

from mangohatch.claims import Answer
from mangohatch.claims.record import SHARDS, claim_kind, claim_name
from mangohatch.claims.store_registry import StoreClaimRegistry
from mangohatch.claims.sweep import ClaimSweep
from mangohatch.config import ClaimSettings
from mangohatch.errors import Outcome
from standins.virtual_loop import LoopClock
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

CFG = ClaimSettings(retention_ms=60_000.0, sweep_ms=10.0)
ANSWER = Answer(status=200, headers=(), body=b"ok")
DEADLINE_MS = 5000.0


@fixture
def claim_clock(loop):
    return LoopClock(loop=loop)


@fixture
def store_registry(loop, store, claim_clock):
    made = StoreClaimRegistry(
        host_id="e1", cfg=CFG, store=store, clock=claim_clock, rng=random.Random(1)
    )
    loop.run_until_complete(made.start())
    return made


@fixture
def sweep(store, claim_clock):
    return ClaimSweep(cfg=CFG, store=store, clock=claim_clock)


def begin(loop, store_registry, key):
    deadline_ms = loop.time() * 1000 + DEADLINE_MS
    return loop.run_until_complete(
        store_registry.begin(
            service="s", key=key, request_id="r", deadline_ms=deadline_ms
        )
    )


def sweep_all(loop, sweep):
    for shard in SHARDS:
        loop.run_until_complete(sweep.sweep(shard))


def stored(objects, key):
    name = claim_name("s", key)
    return objects.get(claim_kind(name), name)


def test_ended_claims_are_deleted_after_the_retention(
    loop, objects, store_registry, sweep
):
    ticket = begin(loop, store_registry, "k1")
    loop.run_until_complete(ticket.finish(Outcome.DONE, ANSWER))
    loop.run_for(CFG.retention_ms / 2)
    sweep_all(loop, sweep)
    assert stored(objects, "k1") is not None
    assert begin(loop, store_registry, "k1") == ANSWER
    loop.run_for(CFG.retention_ms)
    sweep_all(loop, sweep)
    assert stored(objects, "k1") is None
    assert sweep.deleted == 1


def test_unfinished_claim_is_kept_for_the_retention_after_its_deadline(
    loop, objects, store_registry, sweep
):
    begin(loop, store_registry, "k1")
    loop.run_for(CFG.retention_ms + DEADLINE_MS / 2)
    sweep_all(loop, sweep)
    assert stored(objects, "k1") is not None
    loop.run_for(DEADLINE_MS)
    sweep_all(loop, sweep)
    assert stored(objects, "k1") is None


def test_late_result_does_not_recreate_a_deleted_claim(
    loop, objects, store_registry, sweep
):
    ticket = begin(loop, store_registry, "k1")
    loop.run_for(CFG.retention_ms + 2 * DEADLINE_MS)
    sweep_all(loop, sweep)
    loop.run_until_complete(ticket.finish(Outcome.DONE, ANSWER))
    loop.run_for(60_000)
    assert stored(objects, "k1") is None
    assert store_registry.results.pending == 0


def test_run_sweeps_all_shards(loop, objects, store_registry, sweep):
    for number in range(20):
        ticket = begin(loop, store_registry, f"k{number}")
        loop.run_until_complete(ticket.finish(Outcome.NOT_RUN, None))
    loop.run_for(CFG.retention_ms + 1000)
    task = loop.spawn("e1", sweep.run(3))
    loop.run_for(len(SHARDS) * 100.0)
    task.cancel()
    assert sweep.deleted == 20
    assert not objects.objects


def test_object_of_another_writer_does_not_end_a_sweep(
    loop, objects, store_registry, sweep
):
    for number, value in enumerate((None, 7, "x", [], {"state": "done"})):
        objects.put(claim_kind("00"), f"00-{number}", value, None)
    ticket = begin(loop, store_registry, "key")
    loop.run_until_complete(ticket.finish(Outcome.DONE, ANSWER))
    loop.run_until_complete(asyncio.sleep(2 * CFG.retention_ms / 1000))
    sweep_all(loop, sweep)
    assert sweep.deleted == 1
    assert stored(objects, "key") is None
