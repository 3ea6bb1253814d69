"""Tests of the operator API over loopback sockets."""

import random

from tornado.httpclient import AsyncHTTPClient
from tornado.testing import bind_unused_port

from mangohatch.admin.client import fetch_reply, render
from mangohatch.admin.events import EventReader
from mangohatch.admin.fleet import FleetReader
from mangohatch.admin.interpreter import Interpreter
from mangohatch.admin.server import AdminServer
from mangohatch.admin.sources import ServiceSource
from mangohatch.clock import SystemClock
from mangohatch.errors import HostUnanswered
from mangohatch.timeline import HybridClock, Recorder
from standins.memory_bus import MemoryNetwork
from tests.functions import function_tests

load_tests = function_tests(__name__)


def start_server(tables, reasons):
    clock = SystemClock()
    network = MemoryNetwork(loop=RunningLoop(), rng=random.Random(1))
    bus = network.join("entry-1")
    recorder = Recorder(host="entry-1", zone="puno", clock=HybridClock(clock=clock))
    interpreter = Interpreter(
        fleet=FleetReader(bus=bus, clock=clock, sources=[ServiceSource(tables=tables)]),
        events=EventReader(bus=bus, clock=clock, recorder=recorder),
        clock=clock,
    )
    server = AdminServer(
        interpreter=interpreter,
        not_ready=lambda: reasons[0] if reasons else None,
        metrics=lambda: b"up 1\n",
    )
    sock, port = bind_unused_port()
    server._server.add_socket(sock)
    return server, f"127.0.0.1:{port}"


class RunningLoop:
    """An event loop stand-in in which no host is ever stopped."""

    def time(self):
        return 0.0

    def is_stopped(self, host_id):
        return False


async def test_sentence_is_answered_and_rendered(tables):
    server, address = start_server(tables, [])
    reply = await fetch_reply(address, "show services")
    assert reply.rows[0]["service"] == "tablero-misa"
    lines = render(reply).splitlines()
    assert lines[0].startswith("service")
    assert "tablero-misa" in lines[1]
    wrong = await fetch_reply(address, "show servicees")
    assert "^" in render(wrong)
    await server.close()


async def test_probes_and_metrics_are_served(tables):
    reasons = ["nothing_known"]
    server, address = start_server(tables, reasons)
    client = AsyncHTTPClient(force_instance=True)

    async def get(path):
        response = await client.fetch(f"http://{address}{path}", raise_error=False)
        return response.code, response.body

    assert await get("/ready") == (503, b"nothing_known\n")
    reasons.clear()
    assert await get("/ready") == (200, b"ready\n")
    assert await get("/live") == (200, b"live\n")
    assert await get("/metrics") == (200, b"up 1\n")
    client.close()
    await server.close()


async def test_unreachable_host_raises_host_unanswered():
    sock, port = bind_unused_port()
    sock.close()
    try:
        await fetch_reply(f"127.0.0.1:{port}", "show hosts")
    except HostUnanswered as exc:
        assert str(port) in str(exc)
    else:
        raise AssertionError("received a reply from a closed port")
