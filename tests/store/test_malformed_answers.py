"""Tests of answers of the platform's services that are not valid HTTP."""

import asyncio
import contextlib
import json

from mangohatch.errors import StoreError, StoreUnavailable, StoreWriteUnknown
from mangohatch.platform.store import PlatformStore
from mangohatch.store.host_list import HttpHostList
from mangohatch.store.http_store import HttpObjectStore
from standins.malformed_answers import (
    format_fields,
    list_framed_interims,
    list_malformed_names,
    list_malformed_statuses,
)
from tests.functions import function_tests

load_tests = function_tests(__name__)

LOOPBACK = "127.0.0.1"
TIMEOUT_MS = 300.0
ITEM = {"kind": "k", "name": "n", "revision": 9, "value": {}}
PLATFORM_ITEM = {"metadata": {"name": "n", "revision": 9}, "spec": {}}
# Readable by any of the clients.
CONTENT = (
    {"items": [], "has_more": False, "store_revision": 9, "revision": 9}
    | {"version": 9, "hosts": []}
    | PLATFORM_ITEM
    | ITEM
)
BODY = json.dumps(CONTENT).encode() + b"\n"
FIELDS = {"Content-Type": "application/json"}
FORGED = (
    b"HTTP/1.1 200 OK\r\n"
    + format_fields(FIELDS | {"Content-Length": str(len(BODY))})
    + b"\r\n"
    + BODY
)


@contextlib.asynccontextmanager
async def answer_with(data, *, closes=True):
    """Yield the port of a server that answers each call with the same bytes."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        if closes:
            writer.close()

    server = await asyncio.start_server(answer, LOOPBACK, 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


async def call_platform(port):
    """Yield the name and the coroutine of each call of the platform's store."""
    store = PlatformStore(address=(LOOPBACK, port), timeout_ms=TIMEOUT_MS)
    store._watcher = store._caller  # whose timeout is short
    yield "get", store.get("servers", "n")
    yield "list", store.list("servers")
    yield "watch", store.watch("servers", 5)


async def call_objects(port):
    """Yield the name and the coroutine of each call of the object API."""
    store = HttpObjectStore(
        address=LOOPBACK, port=port, role="state", timeout_ms=TIMEOUT_MS
    )
    hosts = HttpHostList(address=LOOPBACK, port=port, timeout_ms=TIMEOUT_MS)
    yield "get", store.get("k", "n")
    yield "list", store.list("k")
    yield "put", store.put("k", "n", {}, expected_revision=None)
    yield "delete", store.delete("k", "n", expected_revision=8)
    yield "hosts", hosts.read()
    store.close()
    hosts.close()


async def check(list_answers):
    """Check that no call takes a malformed answer for one."""
    for body in (BODY, FORGED):
        for fault, data in list_answers(FIELDS, body).items():
            async with answer_with(data) as port:
                for calls in (call_platform, call_objects):
                    async for name, call in calls(port):
                        await expect_failure(name, call, fault)


async def expect_failure(name, call, fault):
    kind = StoreWriteUnknown if name in ("put", "delete") else StoreUnavailable
    try:
        result = await call
    except StoreError as exc:
        assert isinstance(exc, kind), (name, fault, repr(exc))
        return
    raise AssertionError(f"{name} took {fault} for an answer: {result}")


async def read_first(port):
    """Return the first event of a watch, None if it fails or nothing comes."""
    store = HttpObjectStore(
        address=LOOPBACK, port=port, role="state", timeout_ms=TIMEOUT_MS
    )
    events = store.watch("k", since=0)
    try:
        async with asyncio.timeout(TIMEOUT_MS / 1000):
            return await anext(events)
    except (StoreUnavailable, TimeoutError):
        return None
    finally:
        await events.aclose()
        store.close()


async def test_only_the_lines_of_a_response_with_status_200_are_events():
    line = json.dumps({"item": ITEM, "deleted": False, "revision": 9}).encode() + b"\n"
    for status in (b"200", b"000", b"099", b"204", b"404", b"429", b"500", b"600"):
        head = b"HTTP/1.1 %b X\r\nTransfer-Encoding: chunked\r\n\r\n" % status
        data = head + b"%x\r\n%b\r\n" % (len(line), line)
        async with answer_with(data, closes=False) as port:
            event = await read_first(port)
            assert (event is not None) is (status == b"200"), (status, event)


async def test_watch_of_the_platform_returns_whatever_its_events_hold():
    for events in (b"", b"{", b"\xff", b"[" * 5_000, b'{"events": [null]}'):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(events)
        async with answer_with(head + events) as port:
            store = PlatformStore(address=(LOOPBACK, port), timeout_ms=TIMEOUT_MS)
            await store.watch("evacuations", 5)


async def test_write_with_an_unreadable_answer_may_have_been_made():
    for body in (b"", b"{", b"\xff", b"null", b"7", b'{"name": 7}'):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        async with answer_with(head + body) as port:
            store = HttpObjectStore(
                address=LOOPBACK, port=port, role="state", timeout_ms=TIMEOUT_MS
            )
            call = store.put("k", "n", {}, expected_revision=None)
            await expect_failure("put", call, body)
            store.close()


async def test_status_that_is_none_of_http_is_no_answer_to_a_call():
    await check(list_malformed_statuses)


async def test_field_name_that_is_no_token_is_no_answer_to_a_call():
    await check(list_malformed_names)


async def test_interim_response_with_a_body_is_no_answer_to_a_call():
    await check(list_framed_interims)
