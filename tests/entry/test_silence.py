"""Tests of the detection of silent connections."""

import asyncio
import contextlib
import socket

from mangohatch.core.call import Result
from mangohatch.timeline.event import EventKind
from tests.entry.harness import fixed, open_entry, request
from tests.functions import function_tests

load_tests = function_tests(__name__)

WARM_UP_REQUESTS = 30
PAST_LIMIT_MS = 150.0


class SilentScript:
    """A script that does not respond on connections marked as silent."""

    def __init__(self) -> None:
        self.silent: set = set()
        self.swallowed = asyncio.Event()

    async def __call__(self, upstream, message, writer) -> None:
        if writer.get_extra_info("peername") in self.silent:
            self.swallowed.set()
            await asyncio.Event().wait()
        self.writer = writer
        writer.write(fixed())

    def silence_last(self) -> None:
        self.silent.add(self.writer.get_extra_info("peername"))


async def warm_up(entry, caller) -> None:
    for _ in range(WARM_UP_REQUESTS):
        assert (await caller.fetch()).status == 200
    entry.take_results()


async def test_idempotent_request_is_retried_on_a_new_connection():
    script = SilentScript()
    async with open_entry(script, script) as (entry, upstreams):
        caller = await entry.connect()
        await warm_up(entry, caller)
        script.silence_last()
        answered = 0
        while not script.swallowed.is_set():
            await caller.send(request())
            reading = asyncio.ensure_future(caller.read())
            waiting = asyncio.ensure_future(script.swallowed.wait())
            await asyncio.wait({reading, waiting}, return_when="FIRST_COMPLETED")
            waiting.cancel()
            answered += 1
        assert entry.clock.now_ms() == 0
        entry.pass_time(PAST_LIMIT_MS)
        response = await reading
        assert (response.status, response.body) == (200, b"hello")
        assert EventKind.CONNECTION_SILENT in entry.event_kinds()
        assert entry.in_flight() == 0


async def test_non_idempotent_request_is_never_repeated():
    script = SilentScript()
    async with open_entry(script) as (entry, upstreams):
        caller = await entry.connect()
        await warm_up(entry, caller)
        script.silence_last()
        seen = len(upstreams[0].requests)
        await caller.send(request(method="POST", body=b"book"))
        await script.swallowed.wait()
        entry.pass_time(PAST_LIMIT_MS)
        assert entry.in_flight() == 1
        entry.pass_time(1000 - PAST_LIMIT_MS)
        response = await caller.read()
        assert response.headers["x-outcome"] == "unknown"
        assert len(upstreams[0].requests) == seen + 1


async def test_non_idempotent_request_avoids_idle_connections():
    script = SilentScript()
    async with open_entry(script) as (entry, upstreams):
        caller = await entry.connect()
        await warm_up(entry, caller)
        assert upstreams[0].connections == 1
        script.silence_last()
        entry.pass_time(600)
        response = await caller.fetch(method="POST", body=b"book")
        assert response.headers["x-outcome"] == "done"
        assert upstreams[0].connections == 2


async def test_sole_upstream_is_retried_on_a_new_connection():
    script = SilentScript()
    async with open_entry(script) as (entry, upstreams):
        caller = await entry.connect()
        await warm_up(entry, caller)
        script.silence_last()
        await caller.send(request())
        await script.swallowed.wait()
        entry.pass_time(PAST_LIMIT_MS)
        assert (await caller.read()).status == 200
        assert upstreams[0].connections == 2
        # The silent attempt goes on until its retry answers.
        assert entry.take_results() == [Result.OK, Result.SILENT]


async def test_silence_of_a_new_connection_counts_against_the_upstream():
    script = SilentScript()

    async def hang_later(upstream, message, writer):
        if len(upstream.requests) > WARM_UP_REQUESTS:
            script.swallowed.set()
            await asyncio.Event().wait()
        writer.write(fixed(Connection="close"))

    async with open_entry(hang_later) as (entry, upstreams):
        caller = await entry.connect()
        await warm_up(entry, caller)
        await caller.send(request())
        await script.swallowed.wait()
        entry.pass_time(PAST_LIMIT_MS)
        assert entry.in_flight() == 1
        entry.pass_time(PAST_LIMIT_MS)
        entry.pass_time(1000)
        response = await caller.read()
        assert response.status == 504
        assert entry.take_results()[0] is Result.TIMEOUT
        assert EventKind.CONNECTION_SILENT not in entry.event_kinds()


async def test_connect_to_a_full_backlog_times_out():
    async with open_entry(SilentScript()) as (entry, upstreams):
        with full_listener() as port:
            row = next(entry.tables.upstreams())
            row.port = port
            caller = await entry.connect()
            await caller.send(request(method="POST", body=b"book"))
            while not any(req.conn for req in entry.forwarder.active):
                await asyncio.sleep(0)
            entry.pass_time(301)
            response = await caller.read()
            assert response.headers["x-error-code"] == "upstream_unreachable"
            assert response.headers["x-outcome"] == "not_run"


@contextlib.contextmanager
def full_listener():
    """Yield a port whose accept backlog is full, so that connecting hangs."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        yield listener.getsockname()[1]


async def test_slow_upstream_on_a_new_connection_gets_more_time():
    async def hang(upstream, message, writer):
        await asyncio.Event().wait()

    async with open_entry(hang) as (entry, upstreams):
        caller = await entry.connect()
        await caller.send(request())
        await upstreams[0].arrived.wait()
        entry.pass_time(PAST_LIMIT_MS)
        assert EventKind.CONNECTION_SILENT not in entry.event_kinds()
