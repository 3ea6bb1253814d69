"""Tests of objects and hosts that another writer left in the platform's lists."""

import contextlib
import json

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from mangohatch.store.host_list import HttpHostList
from tests.functions import function_tests

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
