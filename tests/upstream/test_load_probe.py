"""Tests of load probes over HTTP, and of crash checks by them."""

import asyncio
import socket

from tornado.iostream import IOStream

from mangohatch.clock import SystemClock
from mangohatch.core.paths import PathTable
from mangohatch.core.quarantine import CheckResult
from mangohatch.core.tables import Tables
from mangohatch.platform.statement import read_probe
from mangohatch.probing import ProbeCrashCheck
from mangohatch.upstream.dialer import Dialer, OpenedStream
from mangohatch.upstream.load_probe import HttpLoadProbe
from tests.fixtures import make_service
from tests.functions import function_tests

load_tests = function_tests(__name__)

SERVICE = "tablero-misa"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nUpstream-Load: 1,0,2\r\n"


async def check_server(handle, *, listening=True):
    """Check an upstream on a port of this machine, which may not be listening."""
    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    tables = Tables()
    tables.apply(make_service(SERVICE, upstreams=1), revision=1)
    tables.services[SERVICE].spec = Spec()
    row = tables.services[SERVICE].upstreams["u1"]
    row.port = server.sockets[0].getsockname()[1]
    if not listening:
        server.close()
    probe = HttpLoadProbe(
        clock=SystemClock(),
        dialer=Dialer(paths=PathTable(clock=SystemClock(), tables=Tables())),
        read=read_probe,
    )
    check = ProbeCrashCheck(tables=tables, probe=probe)
    done = asyncio.get_running_loop().create_future()
    check.send(row, done.set_result)
    try:
        return await done
    finally:
        check.retain([])
        server.close()


class Spec:
    health_path = "/healthz"


def answer(instance):
    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + f"Upstream-Instance: {instance}\r\n\r\n".encode())
        await writer.drain()
        writer.close()

    return handle


async def reset(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.transport.abort()


def test_upstream_that_answers_is_alive():
    assert asyncio.run(check_server(answer("u1"))) is CheckResult.ANSWERED


def test_upstream_without_listener_refuses():
    result = asyncio.run(check_server(answer("u1"), listening=False))
    assert result is CheckResult.REFUSED


def test_another_process_at_the_address_counts_as_refusal():
    assert asyncio.run(check_server(answer("u2"))) is CheckResult.REFUSED


def test_connection_that_is_reset_is_no_answer():
    assert asyncio.run(check_server(reset)) is CheckResult.SILENT


class PairDialer(Dialer):
    """Opens one side of a socket pair; the other side answers nothing by itself."""

    def __init__(self):
        super().__init__(paths=PathTable(clock=SystemClock(), tables=Tables()))
        self.opened = []
        self.far = []
        self.proceed = asyncio.Event()

    async def open(self, upstream, stream, *, given_up=None):
        await self.proceed.wait()
        near, far = socket.socketpair()
        self.far.append(far)
        self.opened.append(IOStream(near))
        stream.close()
        return OpenedStream(stream=self.opened[-1])

    def answer(self, number):
        self.far[number].sendall(HEAD + b"Upstream-Instance: u1\r\n\r\n")


def make_row():
    tables = Tables()
    tables.apply(make_service(SERVICE, upstreams=1), revision=1)
    return tables.services[SERVICE].upstreams["u1"]


async def run_until(condition):
    async with asyncio.timeout(2.0):
        while not condition():
            await asyncio.sleep(0)


def make_probe():
    dialer = PairDialer()
    probe = HttpLoadProbe(clock=SystemClock(), dialer=dialer, read=read_probe)
    return probe, dialer


async def test_probe_of_an_upstream_given_up_in_the_same_iteration_opens_nothing():
    # A relayed connection that is opened after its upstream went to another owner
    # is not judged again, and stays open after the direct path is back.
    probe, dialer = make_probe()
    dialer.proceed.set()
    results = []
    probe.send(make_row(), "/", results.append)
    probe.retain([])
    await run_until(lambda: results)
    assert all(stream.closed() for stream in dialer.opened)
    assert not dialer.opened


async def test_connection_of_a_repeated_probe_is_still_known_when_the_first_ends():
    # The end of the first probe must not hide the connection of the second one, which
    # nothing would close any more.
    probe, dialer = make_probe()
    row = make_row()
    results = []
    probe.send(row, "/", results.append)
    await asyncio.sleep(0)
    probe.retain([])
    probe.send(row, "/", results.append)
    await asyncio.sleep(0)
    dialer.proceed.set()
    await run_until(lambda: results)
    await run_until(lambda: len(dialer.far) == 2)
    dialer.answer(1)
    await run_until(lambda: len(results) == 2)
    assert [stream.closed() for stream in dialer.opened] == [True, False]
    probe.retain([])
    assert all(stream.closed() for stream in dialer.opened)


async def test_closed_probe_leaves_no_task_behind():
    # A task that is collected after the loop has ended prints a traceback.
    probe, dialer = make_probe()
    probe.send(make_row(), "/", lambda result: None)
    await asyncio.sleep(0)
    before = asyncio.all_tasks()
    assert len(before) == 2
    await probe.close()
    assert asyncio.all_tasks() == {asyncio.current_task()}
    probe.send(make_row(), "/", lambda result: None)
    assert asyncio.all_tasks() == {asyncio.current_task()}
