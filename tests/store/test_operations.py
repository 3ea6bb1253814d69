"""Tests of writes with lost responses."""

from mangohatch.errors import StoreConflict, StoreUnavailable, StoreWriteUnknown
from mangohatch.store.operations import put_resolved, with_operation
from tests.functions import function_tests

load_tests = function_tests(__name__)


async def write(store, rng, operation_id, base=None):
    return await put_resolved(
        store,
        kind="service",
        name="a",
        value=with_operation({"x": 1}, operation_id=operation_id, base=base),
        expected_revision=base.revision if base else None,
        rng=rng,
    )


def test_lost_answer_is_resolved_by_the_operation_id(loop, objects, store, rng):
    objects.faults.lost_answers = 1
    item = loop.run_until_complete(write(store, rng, "op-1"))
    assert item.revision == 1
    assert objects.revision == 1


def test_write_without_effect_is_sent_again(loop, objects, store, rng):
    objects.faults.refused_writes = 2
    item = loop.run_until_complete(write(store, rng, "op-1"))
    assert item.revision == objects.revision == 1


def test_other_writer_after_a_lost_answer_is_a_conflict(loop, objects, store, rng):
    objects.put("service", "a", with_operation({}, operation_id="x", base=None), None)
    objects.faults.refused_writes = 1
    try:
        loop.run_until_complete(write(store, rng, "op-1"))
    except StoreConflict:
        assert objects.revision == 1
    else:
        raise AssertionError(
            "a write succeeded although another writer created the object"
        )


def test_operation_is_found_after_the_object_is_replaced(loop, objects, store, rng):
    objects.faults.lost_answers = 1

    async def race():
        task = loop.create_task(write(store, rng, "op-1"))
        while not objects.objects:
            await store.get("service", "a")
        first = await store.get("service", "a")
        await write(store, rng, "op-2", base=first)
        return await task

    assert loop.run_until_complete(race()).revision == 2


def test_stale_read_does_not_resolve_a_write(loop, objects, store, rng):
    base = objects.put("service", "a", {"operation_id": "op-0"}, None)
    objects.faults.lost_answers = 1
    objects.faults.stale_revision = 1
    try:
        loop.run_until_complete(write(store, rng, "op-1", base=base))
    except StoreWriteUnknown:
        assert objects.revision == 2
    else:
        raise AssertionError("a stale read resolved the write")


def test_refused_write_is_not_in_doubt(loop, objects, store, rng):
    objects.faults.outage = True
    try:
        loop.run_until_complete(write(store, rng, "op-1"))
    except StoreUnavailable:
        assert objects.revision == 0
    else:
        raise AssertionError("a write succeeded in an outage")
