"""Tests of the HTTP client with the stand-in of the object API."""

import asyncio
import random
from contextlib import asynccontextmanager

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from mangohatch.core.tables import Tables
from mangohatch.errors import (
    RevisionCompacted,
    StoreConflict,
    StoreRateLimited,
    StoreRejected,
    StoreUnavailable,
    StoreWriteUnknown,
)
from mangohatch.state import ConfigTable
from mangohatch.state.reader import ConfigReader, WatchSilent
from mangohatch.store.http_store import HttpObjectStore
from mangohatch.store.operations import put_resolved, with_operation
from mangohatch.timeline.recorder import HybridClock, Recorder
from standins.object_api import make_object_api
from tests.functions import function_tests

load_tests = function_tests(__name__)


@asynccontextmanager
async def serving(objects, *, timeout_ms=500.0, **limits):
    sock, port = bind_unused_port()
    server = HTTPServer(make_object_api(objects, **limits))
    server.add_sockets([sock])
    client = HttpObjectStore(
        address="127.0.0.1", port=port, role="state", timeout_ms=timeout_ms
    )
    try:
        yield client
    finally:
        client.close()
        server.stop()
        await server.close_all_connections()


async def raises(kind, work):
    try:
        await work
    except kind as exc:
        assert type(exc) is kind, repr(exc)
        return exc
    raise AssertionError(f"{kind.__name__} was not raised")


def write(store, rng, operation_id="op-1"):
    return put_resolved(
        store,
        kind="claim",
        name="a/b c",
        value=with_operation({"x": 1}, operation_id=operation_id, base=None),
        expected_revision=None,
        rng=rng,
    )


async def test_objects_are_written_read_and_deleted_on_conditions(objects):
    async with serving(objects) as store:
        assert await store.get("claim", "a/b") is None
        stored = await store.put("claim", "a/b", {"x": 1}, expected_revision=None)
        assert await store.get("claim", "a/b") == stored
        assert (await store.list("claim")).items == [stored]
        await raises(
            StoreConflict, store.put("claim", "a/b", {}, expected_revision=None)
        )
        await raises(StoreConflict, store.delete("claim", "a/b", expected_revision=9))
        await store.delete("claim", "a/b", expected_revision=stored.revision)
        assert await store.get("claim", "a/b") is None
    assert objects.calls[("state", "put")] == 2


async def test_lost_answer_is_resolved_over_http(objects, rng):
    objects.faults.lost_answers = 1
    async with serving(objects) as store:
        assert (await write(store, rng)).revision == objects.revision == 1


async def test_write_applied_after_the_timeout_is_resolved(objects, rng):
    objects.faults.delay_ms = 80.0
    async with serving(objects, timeout_ms=50.0) as store:
        task = asyncio.ensure_future(write(store, rng))
        await asyncio.sleep(0.07)
        objects.faults.delay_ms = 0.0
        item = await task
    assert item.value["operation_id"] == "op-1"
    assert objects.revision == 1


async def test_cut_write_is_unknown_but_refused_connection_is_not(objects):
    objects.faults.outage = True
    async with serving(objects) as store:
        await raises(
            StoreWriteUnknown, store.put("claim", "a", {}, expected_revision=None)
        )
    sock, port = bind_unused_port()
    sock.close()
    store = HttpObjectStore(
        address="127.0.0.1", port=port, role="state", timeout_ms=500.0
    )
    await raises(StoreUnavailable, store.put("claim", "a", {}, expected_revision=None))
    store.close()


async def test_rate_limit_reports_the_retry_delay(objects):
    async with serving(objects, writes_per_second=1.0) as store:
        await store.put("claim", "a", {}, expected_revision=None)
        exc = await raises(
            StoreRateLimited, store.put("claim", "b", {}, expected_revision=None)
        )
    assert exc.retry_after_ms == 1000.0
    assert objects.revision == 1


async def test_too_large_value_is_rejected(objects):
    async with serving(objects) as store:
        value = {"body": "x" * 1_100_000}
        await raises(StoreRejected, store.put("c", "a", value, expected_revision=None))


async def test_watch_delivers_changes_and_keep_alive_events(objects):
    objects.put("service", "a", {}, None)
    async with serving(objects) as store:
        events = store.watch("service", since=0)
        assert (await anext(events)).item.name == "a"
        assert (await anext(events)).item is None
        objects.delete("service", "a", 1)
        event = await anext(events)
        assert event.deleted and event.revision == 2
        await events.aclose()


async def test_watch_from_a_compacted_revision_is_refused(objects):
    for _ in range(10_001):
        objects.put("other", f"n{objects.revision}", {}, None)
    async with serving(objects) as store:
        events = store.watch("service", since=1)
        await raises(RevisionCompacted, anext(events))


async def test_broken_watch_is_an_error(objects):
    async with serving(objects) as store:
        events = store.watch("service", since=0)
        assert (await anext(events)).item is None
        objects.faults.outage = True
        await raises(StoreUnavailable, anext(events))


async def test_silent_watch_is_detected(objects, clock):
    recorder = Recorder(host="e1", zone="puno", clock=HybridClock(clock=clock))
    objects.faults.silent_watches = True
    async with serving(objects) as store:
        table = ConfigTable(tables=Tables(), recorder=recorder)
        changes = ConfigReader(store=store, table=table).follow(0, 50.0)
        await raises(WatchSilent, anext(changes))


async def test_many_writers_of_one_object_have_one_winner(objects):
    async with serving(objects) as store:
        writes = [write(store, random.Random(n), f"op-{n}") for n in range(20)]
        results = await asyncio.gather(*writes, return_exceptions=True)
    won = [result for result in results if not isinstance(result, StoreConflict)]
    assert len(won) == 1 and objects.revision == 1
