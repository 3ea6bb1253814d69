"""An entry server on loopback, with raw callers and scripted upstreams."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

from mangohatch.clock import ManualClock
from mangohatch.config import IdempotencyRule, ServiceSpec, UpstreamSpec
from mangohatch.core.call import Grant, Report, Result
from mangohatch.core.paths import PathTable
from mangohatch.core.router import Router
from mangohatch.core.tables import Tables
from mangohatch.entry.forwarder import Forwarder
from mangohatch.entry.server import EntryServer
from mangohatch.timeline.recorder import HybridClock, Recorder
from mangohatch.upstream.dialer import Dialer
from mangohatch.upstream.pool import ConnectionPool

__all__ = [
    "Caller",
    "Entry",
    "FakeUpstream",
    "Message",
    "fixed",
    "open_entry",
    "wait_until",
]

TIMEOUT_S = 5.0
LOOPBACK = "127.0.0.1"
RULES = (IdempotencyRule(method="POST", path_prefix="/a/search", idempotent=True),)


@dataclass(slots=True)
class Message:
    """A request or response read from a socket; not complete if the body was cut."""

    line: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        return int(self.line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader, *, bodyless=False) -> Message:
    data = await reader.readuntil(b"\r\n\r\n")
    line, *rest = data.decode("latin1").strip().split("\r\n")
    headers = dict(item.lower().split(": ", 1) for item in rest)
    message = Message(line, headers)
    if bodyless:
        return message
    try:
        if headers.get("transfer-encoding") == "chunked":
            message.body = await read_chunks(reader)
        else:
            message.body = await reader.readexactly(
                int(headers.get("content-length", 0))
            )
    except (asyncio.IncompleteReadError, ConnectionError):
        message.complete = False
    return message


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


def fixed(body: bytes = b"hello", *, status: int = 200, **headers: str) -> bytes:
    fields = "".join(
        f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items()
    )
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{fields}\r\n"
    return head.encode() + body


async def wait_until(condition: Callable[[], bool]) -> None:
    """Run the event loop until a condition holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0)


Script = Callable[["FakeUpstream", Message, asyncio.StreamWriter], Awaitable[None]]


@dataclass(slots=True)
class FakeUpstream:
    """Records the requests it receives and responds according to its script."""

    name: str
    script: Script
    port: int = 0
    requests: list[Message] = field(default_factory=list)
    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    connections: int = 0
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)
    server: asyncio.Server | None = None
    tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.accept, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def accept(self, reader, writer) -> None:
        task = asyncio.ensure_future(self.serve(reader, writer))
        self.tasks.add(task)

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            while True:
                message = await read_message(reader)
                self.requests.append(message)
                self.arrived.set()
                await self.script(self, message, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.disconnected.set()
        finally:
            writer.close()

    async def stop(self) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Caller:
    """A raw connection to the entry server."""

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def read(self, *, bodyless=False) -> Message:
        reading = read_message(self.reader, bodyless=bodyless)
        return await asyncio.wait_for(reading, TIMEOUT_S)

    async def fetch(
        self, target="/a/x", *, method="GET", body: bytes | None = None, **headers
    ) -> Message:
        await self.send(request(target, method=method, body=body, **headers))
        return await self.read(bodyless=method == "HEAD")

    async def read_to_end(self) -> bytes:
        return await asyncio.wait_for(self.reader.read(), TIMEOUT_S)


def request(target="/a/x", *, method="GET", body=None, **headers) -> bytes:
    fields = {"Host": "h"} | {k.replace("_", "-"): v for k, v in headers.items()}
    if body is not None:
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + (body or b"")


class SpyRouter(Router):
    """A router that records the reports of released grants."""

    def __init__(self, **parts) -> None:
        super().__init__(**parts)
        self.reports: list[Report] = []

    def release(self, grant: Grant, report: Report) -> None:
        super().release(grant, report)
        self.reports.append(report)


@dataclass(slots=True)
class Entry:
    """An entry server with its components."""

    router: "SpyRouter"
    clock: ManualClock
    tables: Tables
    pool: ConnectionPool
    forwarder: Forwarder
    server: EntryServer
    recorder: Recorder
    callers: list[Caller] = field(default_factory=list)

    async def connect(self) -> Caller:
        streams = await asyncio.open_connection(LOOPBACK, self.server.port)
        self.callers.append(Caller(*streams))
        return self.callers[-1]

    def pass_time(self, ms: float) -> None:
        self.clock.advance(ms)
        self.server.tick()

    def event_kinds(self) -> list[str]:
        return [event.kind for event in self.recorder.events()]

    def take_results(self) -> list[Result]:
        """Results of the attempts since the last call."""
        seen = [report.result for report in self.router.reports]
        self.router.reports.clear()
        return seen

    def in_flight(self) -> int:
        return sum(row.in_flight for row in self.tables.upstreams())


@contextlib.asynccontextmanager
async def open_entry(*scripts: Script, **parts) -> AsyncIterator:
    """
    Start an entry server with one upstream per script.

    :param scripts: scripts of the upstreams ``u1``, ``u2`` and so on
    :param parts: additional arguments of the forwarder
    :return: the entry server and its upstreams
    """
    upstreams = [FakeUpstream(f"u{n}", script) for n, script in enumerate(scripts, 1)]
    for upstream in upstreams:
        await upstream.start()
    clock = ManualClock()
    tables = Tables()
    tables.apply(make_spec(upstreams), revision=1)
    pool = ConnectionPool(
        clock=clock, dialer=Dialer(paths=PathTable(clock=clock, tables=Tables()))
    )
    router = SpyRouter(clock=clock, rng=random.Random(1), tables=tables)
    recorder = Recorder(host="h1", zone="puno", clock=HybridClock(clock=clock))
    forwarder = Forwarder(
        clock=clock, router=router, pool=pool, recorder=recorder, **parts
    )
    server = EntryServer(host_id="h1", clock=clock, tables=tables, forwarder=forwarder)
    server.listen(LOOPBACK, 0)
    entry = Entry(router, clock, tables, pool, forwarder, server, recorder)
    try:
        yield entry, upstreams
    finally:
        for caller in entry.callers:
            caller.writer.close()
        await server.close()
        pool.close()
        for upstream in upstreams:
            await upstream.stop()


def make_spec(upstreams: list[FakeUpstream]) -> ServiceSpec:
    return ServiceSpec(
        name="a",
        path_prefix="/a",
        deadline_ms=1000.0,
        rules=RULES,
        upstreams=tuple(
            UpstreamSpec(name=item.name, address=LOOPBACK, port=item.port, zone="puno")
            for item in upstreams
        ),
    )
