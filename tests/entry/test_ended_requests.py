"""Tests that a request ends with its deadline and its caller, whatever it waits for."""

import asyncio
import socket
import struct

from mangohatch.claims import ClaimRegistry
from mangohatch.core.call import Grant
from mangohatch.entry.replay_memory import ReplayMemory
from mangohatch.errors import CallerGone
from mangohatch.upstream.dialer import Dialer
from tests.entry.harness import (
    LOOPBACK,
    TIMEOUT_S,
    SpyRouter,
    fixed,
    open_entry,
    request,
    wait_until,
)
from tests.entry.test_slow_callers import wait_until_received
from tests.functions import function_tests

load_tests = function_tests(__name__)

DEADLINE_MS = 1_000.0  # of the test service
CHECK_MS = 250.0
UNREAD_CHECKS = 10
PIECE = b"x" * 65_536


async def answer(upstream, message, writer):
    writer.write(fixed())


async def test_body_that_stops_is_refused_at_the_deadline():
    # The caller of a body that stopped within its beginning got no answer until the
    # body had made no progress for ten seconds.
    for size in (10, 1_000_000):
        async with open_entry(answer) as (entry, upstreams):
            caller = await entry.connect()
            fields = {"Content-Length": str(size)}
            await caller.send(request(method="POST", **fields) + b"xxx")
            await wait_until_received(entry, 3)
            entry.pass_time(DEADLINE_MS - 1.0)
            entry.pass_time(300.0)
            response = await caller.read()
            assert response.headers["x-error-code"] == "request_timeout"
            assert response.headers["x-outcome"] == "not_run"
            assert not upstreams[0].requests


async def test_body_that_trickles_is_refused_at_the_deadline():
    async with open_entry(answer) as (entry, upstreams):
        caller = await entry.connect()
        await caller.send(request(method="POST", **{"Content-Length": "100"}))
        for number in range(1, 5):
            await caller.send(b"x")
            await wait_until_received(entry, number)
            entry.pass_time(DEADLINE_MS / 4)
        response = await caller.read()
        assert response.headers["x-error-code"] == "request_timeout"


async def test_connection_that_has_ended_keeps_no_bytes_of_its_caller():
    # Garbage is collected late: hosts with many senders kept over 100 MB of them.
    starts = (
        b"GET /a/x HTTP/1.1\r\nX: ",
        request(method="POST", **{"Content-Length": "60000000"}),
        b"nonsense\r\n\r\n",
    )
    for start in starts:
        async with open_entry(answer) as (entry, _):
            caller = await entry.connect()
            await caller.send(start)
            await wait_until(lambda entry=entry: entry.server.sessions)
            (session,) = entry.server.sessions
            for _ in range(16):
                caller.writer.write(PIECE)
                await asyncio.sleep(0)
            caller.writer.transport.abort()
            async with asyncio.timeout(TIMEOUT_S):
                while entry.server.sessions:
                    entry.pass_time(CHECK_MS)
                    await asyncio.sleep(0)
            assert not session.stream._read_buffer, start


class Unread:
    """An upstream that works before it reads the body of a request."""

    def __init__(self):
        self.begun = asyncio.Event()
        self._ended = asyncio.Event()

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.transport.pause_reading()
        self.begun.set()
        await self._ended.wait()
        writer.transport.abort()

    def end(self):
        self._ended.set()


async def send_until_unread(sock, entry):
    """Send a body until the entry server has stopped reading it."""
    (session,) = entry.server.sessions
    unread = 0
    while unread < UNREAD_CHECKS:
        if not unread:
            await asyncio.get_running_loop().sock_sendall(sock, PIECE)
        await asyncio.sleep(0.01)
        is_unread = session.stream._read_buffer_size and not session.stream.reading()
        unread = unread + 1 if is_unread else 0


def close(sock):
    sock.close()


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def test_upload_ends_when_its_caller_leaves_although_nobody_reads_it():
    # The upstream stayed at work until the deadline: the end of the connection stood
    # behind bytes for which there was no room.
    head = request("/a/search", method="POST", **{"Content-Length": "100000000"})
    for leave in (close, reset):
        upstream = Unread()
        async with open_entry(answer) as (entry, _):
            entry.server.replay_memory = ReplayMemory(limit_bytes=0)
            server = await asyncio.start_server(upstream.serve, LOOPBACK, 0)
            (row,) = entry.tables.upstreams()
            row.port = server.sockets[0].getsockname()[1]
            caller = socket.create_connection((LOOPBACK, entry.server.port))
            caller.setblocking(False)
            await asyncio.get_running_loop().sock_sendall(caller, head)
            async with asyncio.timeout(TIMEOUT_S):
                await wait_until(lambda: entry.server.sessions)
                await send_until_unread(caller, entry)
                await upstream.begun.wait()
            entry.pass_time(CHECK_MS)
            assert entry.forwarder.active, "the caller is still there"
            leave(caller)
            await asyncio.sleep(0.01)
            entry.pass_time(CHECK_MS)
            await wait_until(lambda: not entry.forwarder.active)
            assert entry.in_flight() == 0
            upstream.end()
            server.close()


class HeldRouter(SpyRouter):
    """A router that keeps its decisions until the test takes them."""

    def __init__(self, **parts):
        super().__init__(**parts)
        self.held = []

    def request(self, call, deliver):
        super().request(call, lambda decision: self.held.append((decision, deliver)))


class CountingDialer(Dialer):
    """A dialer that counts its connections, none of which opens."""

    opened = 0

    async def open(self, upstream, stream, *, given_up=None):
        self.opened += 1
        await given_up


async def test_request_aborted_beside_its_admission_opens_no_connection():
    # The request went on, without an upstream that accepts until the connect limit.
    async with open_entry(answer) as (entry, upstreams):
        router = HeldRouter(
            clock=entry.clock, rng=entry.router._chooser._rng, tables=entry.tables
        )
        entry.forwarder._router = router
        dialer = CountingDialer(paths=entry.pool._dialer.paths)
        entry.pool._dialer = dialer
        caller = await entry.connect()
        await caller.send(request())
        await wait_until(lambda: router.held)
        (req,) = entry.forwarder.active
        decision, deliver = router.held.pop()
        assert isinstance(decision, Grant)
        deliver(decision)
        entry.forwarder.abort(req, CallerGone("the caller left"))
        await wait_until(lambda: not entry.forwarder.active)
        assert dialer.opened == 0
        assert entry.in_flight() == 0


class SilentRegistry(ClaimRegistry):
    """A registry whose store does not answer."""

    def __init__(self):
        self.waiting = 0

    async def begin(self, *, service, key, request_id, deadline_ms):
        self.waiting += 1
        try:
            await asyncio.Event().wait()
        finally:
            self.waiting -= 1


async def test_claim_ends_when_the_caller_leaves():
    # The claim of a caller that had left was waited for until the deadline.
    registry = SilentRegistry()
    async with open_entry(answer, registry=registry) as (entry, upstreams):
        caller = await entry.connect()
        key = {"Idempotency-Key": "k1"}
        await caller.send(request(method="POST", body=b"book", **key))
        await wait_until(lambda: registry.waiting)
        caller.writer.close()
        await wait_until(lambda: not registry.waiting)
        await wait_until(lambda: not entry.server.sessions)
