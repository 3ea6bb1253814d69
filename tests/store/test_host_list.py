"""Tests of the client of the host list."""

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port

from mangohatch.errors import StoreUnavailable
from mangohatch.store.host_list import HttpHostList, ListedHost, ListedState
from standins.host_list import HostTable, make_host_list
from tests.functions import function_tests

load_tests = function_tests(__name__)


async def test_list_is_read_with_its_lag(clock):
    host_table = HostTable(clock=clock, lag_ms=1000.0)
    sock, port = bind_unused_port()
    server = HTTPServer(make_host_list(host_table))
    server.add_sockets([sock])
    reader = HttpHostList(address="127.0.0.1", port=port, timeout_ms=500.0)
    host_table.set(
        ListedHost(name="b1", address="127.0.0.9", state=ListedState.LEAVING)
    )
    assert (await reader.read()).hosts == ()
    clock.advance(1000.0)
    assert (await reader.read()).hosts[0].state is ListedState.LEAVING
    host_table.outage = True
    try:
        await reader.read()
    except StoreUnavailable:
        pass
    else:
        raise AssertionError("the list was read in an outage")
    finally:
        reader.close()
        server.stop()
        await server.close_all_connections()
