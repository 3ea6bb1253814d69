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
async def answer_with(data):
    """Yield the port of a server that answers each call with the same bytes."""

    async def answer(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(data)

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


async def test_status_that_is_none_of_http_is_no_answer_to_a_call():
    await check(list_malformed_statuses)


async def test_field_name_that_is_no_token_is_no_answer_to_a_call():
    await check(list_malformed_names)


async def test_interim_response_with_a_body_is_no_answer_to_a_call():
    await check(list_framed_interims)
