"""Tests of objects and hosts that another writer left in the platform's lists."""

import contextlib
import json
from dataclasses import replace

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from mangohatch.claims.record import read_claim
from mangohatch.clock import ManualClock
from mangohatch.core.tables import Tables
from mangohatch.errors import StoreUnavailable
from mangohatch.orders.writer import make_conflict_error
from mangohatch.state import ConfigTable
from mangohatch.state.items import service_value
from mangohatch.state.lease import read_lease
from mangohatch.store.base import Listing, StoredObject
from mangohatch.store.host_list import HttpHostList
from mangohatch.store.http_store import HttpObjectStore
from mangohatch.store.operations import holds_operation, with_operation
from mangohatch.timeline.recorder import HybridClock, Recorder
from tests.fixtures import make_service
from tests.functions import function_tests
from tests.store.test_malformed_answers import answer_with

load_tests = function_tests(__name__)

HOST = {"name": "b1", "address": "127.0.0.9", "state": "live"}
# Entries of the host list that name no host.
FOREIGN_HOSTS = (
    None,
    7,
    "b2",
    [],
    {},
    {"name": "b2"},
    HOST | {"name": 7},
    HOST | {"address": None},
    HOST | {"port": "a"},
    HOST | {"port": [80]},
    HOST | {"state": "gone"},
    HOST | {"state": {}},
)
NAMES = (
    "a b",
    "a&b=c",
    "a+b",
    "a#b",
    "a%",
    "a%20b",
    "a/b",
    "b\u00e9",
    "be\u0301",
    "\ud800",
)


@contextlib.asynccontextmanager
async def serving(content):
    """Yield the port of a server that answers each call with a JSON document."""

    class Handler(RequestHandler):
        def get(self):
            self.write(json.dumps(content).encode())

    sock, port = bind_unused_port()
    server = HTTPServer(Application([(r".*", Handler)], log_function=lambda _: None))
    server.add_sockets([sock])
    try:
        yield port
    finally:
        server.stop()
        await server.close_all_connections()


async def read_hosts(entries):
    async with serving({"version": 3, "hosts": entries}) as port:
        hosts = HttpHostList(address="127.0.0.1", port=port, timeout_ms=500.0)
        try:
            return [host.name for host in (await hosts.read()).hosts]
        finally:
            hosts.close()


async def test_foreign_entry_leaves_the_other_hosts_of_the_list():
    other = HOST | {"name": "b3", "address": "127.0.0.8"}
    for entry in FOREIGN_HOSTS:
        assert await read_hosts([HOST, entry, other]) == ["b1", "b3"], entry


async def test_hosts_of_any_name_are_read():
    assert await read_hosts([HOST | {"name": name} for name in NAMES]) == [*NAMES]


OBJECT = {"kind": "service", "name": "a", "revision": 5, "value": {}}
# Elements of a list or events of a watch that are no objects.
NO_OBJECTS = (
    None,
    7,
    "b",
    [],
    {"name": "b"},
    OBJECT | {"name": None},
    OBJECT | {"name": 7},
    OBJECT | {"name": "b", "revision": None},
    OBJECT | {"name": "b", "revision": "5"},
    OBJECT | {"name": "b", "revision": True},
    {key: OBJECT[key] for key in ("kind", "name", "revision")},
)
NO_VALUES = (None, 7, "x", [], [1], {}, {"operation_id": 7, "earlier_operations": 7})


@contextlib.contextmanager
def open_store(port):
    store = HttpObjectStore(
        address="127.0.0.1", port=port, role="state", timeout_ms=500.0
    )
    try:
        yield store
    finally:
        store.close()


async def test_foreign_object_leaves_the_others_of_a_list():
    others = [OBJECT, OBJECT | {"name": "c", "revision": 6}]
    for foreign in NO_OBJECTS:
        items = [others[0], foreign, others[1]]
        async with serving({"items": items, "revision": 9}) as port:
            with open_store(port) as store:
                listing = await store.list("service")
        assert [item.name for item in listing.items] == ["a", "c"], foreign
        assert len(listing.unreadable) == 1, foreign


async def test_document_that_is_no_object_is_no_answer():
    for document in (None, 7, [], {}, {"items": [], "revision": None}, {"items": {}}):
        async with serving(document) as port:
            with open_store(port) as store:
                for call in (store.list("service"), store.get("service", "a")):
                    with contextlib.suppress(StoreUnavailable):
                        raise AssertionError((document, await call))


async def test_foreign_object_in_a_watch_is_passed_over():
    events = [{"item": item, "deleted": False, "revision": 9} for item in NO_OBJECTS]
    events.append({"item": OBJECT, "deleted": False, "revision": 9})
    lines = b"".join(json.dumps(event).encode() + b"\n" for event in events)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    data = head + b"%x\r\n%b\r\n" % (len(lines), lines)
    async with answer_with(data, closes=False) as port:
        with open_store(port) as store:
            watch = store.watch("service", since=0)
            items = [(await anext(watch)).item for _ in events]
            await watch.aclose()
    assert [item.name for item in items if item is not None] == ["a"]


def test_service_whose_object_is_unreadable_stays_in_force():
    table = ConfigTable(tables=Tables(), recorder=make_recorder())
    spec = service_value(make_service("desk"))
    stored = StoredObject(kind="service", name="desk", revision=5, value=spec)
    table.apply_listing("service", Listing(items=[stored], revision=5))
    for name in ("desk", ""):
        listing = Listing(items=[], revision=9, unreadable=frozenset({name}))
        assert not table.apply_listing("service", listing)
    (tombstone,) = table.apply_listing("service", Listing(items=[], revision=9))
    assert tombstone.deleted


def make_recorder():
    clock = HybridClock(clock=ManualClock())
    return Recorder(host="e1", zone="puno", clock=clock)


def test_value_of_another_writer_is_no_claim_and_no_lease():
    for value in NO_VALUES:
        stored = StoredObject(kind="lease", name="watch", revision=5, value=value)
        assert read_claim(value) is None, value
        assert read_lease(stored) is None, value
        assert not holds_operation(stored, "op-1"), value
        marked = with_operation({"x": 1}, operation_id="op-1", base=stored)
        assert holds_operation(replace(stored, value=marked), "op-1"), value
        assert "came first" in str(make_conflict_error(stored))
