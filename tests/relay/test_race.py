"""Tests of attempts of which the first to succeed counts."""

import asyncio
import errno
import socket

from tornado.iostream import IOStream

from mangohatch.clock import SystemClock
from mangohatch.core.paths import PathTable
from mangohatch.core.tables import Tables
from mangohatch.core.upstream_path import ConnectFailure
from mangohatch.errors import UpstreamUnreachable
from mangohatch.relay.dialer import Race, RelayDialer
from mangohatch.upstream.connection import UpstreamConnection
from mangohatch.upstream.dialer import OpenedStream, classify_failure, open_stream
from tests.fixtures import make_service
from tests.functions import function_tests

load_tests = function_tests(__name__)

TIMEOUT_S = 5.0
ITERATIONS = 8  # of the event loop, from the answer of a peer to the end of the race


async def test_stream_of_an_attempt_that_succeeds_beside_the_winner_is_closed():
    pairs = [socket.socketpair() for _ in range(2)]
    opened = [OpenedStream(stream=IOStream(near)) for near, _ in pairs]
    race = Race()

    async def attempt(number):
        return opened[number]

    for number in range(len(opened)):
        race.start(attempt(number))
    await asyncio.sleep(0)
    ended = await race.wait(1.0)
    assert len(ended) == len(opened)
    winner = race.win(ended[0][0])
    race.cancel()
    await asyncio.sleep(0)
    assert [item.stream.closed() for item in opened] == [
        item is not winner for item in opened
    ]
    for _, far in pairs:
        far.close()


class OnePeer:
    """Offers one peer, and counts its connections."""

    def __init__(self):
        self.open = 0

    def candidates(self):
        return iter(["h1"])

    def record_opened(self, host_id):
        self.open += 1

    def record_refused(self, host_id, cause):
        return None


class SilentPathDialer(RelayDialer):
    """A dialer whose direct path neither opens nor fails."""

    async def _open_directly(self, upstream, stream):
        await asyncio.Event().wait()


class PairClient:
    """Opens socket pairs once it may."""

    def __init__(self):
        self.proceed = asyncio.Event()
        self.asked = asyncio.Event()
        self.near, self.far = socket.socketpair()
        self.stream = IOStream(self.near)

    async def open(self, peer, upstream):
        self.asked.set()
        await self.proceed.wait()
        return self.stream


async def open_and_cancel(iterations):
    """Cancel the opening of a connection some iterations after a peer has opened it."""
    tables = Tables()
    tables.apply(make_service("desk", upstreams=1), revision=1)
    row = tables.services["desk"].upstreams["u1"]
    client = PairClient()
    chooser = OnePeer()
    dialer = SilentPathDialer(
        paths=PathTable(clock=SystemClock(), tables=tables),
        chooser=chooser,
        client=client,
        clock=SystemClock(),
    )
    task = asyncio.create_task(dialer.open(row, open_stream()))
    await client.asked.wait()
    client.proceed.set()
    for _ in range(iterations):
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait([task])
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    client.far.close()
    return task, client, chooser


async def test_opening_that_is_cancelled_at_any_time_leaves_no_stream_open():
    # A probe that times out while the losing attempts end must not leave a connection
    # at the peer that nothing closes.
    ends = set()
    for iterations in range(ITERATIONS):
        task, client, chooser = await open_and_cancel(iterations)
        ends.add(task.cancelled())
        if task.cancelled():
            assert client.stream.closed()
            assert not chooser.open
        else:
            assert task.result().stream is client.stream
            assert chooser.open == 1
            client.stream.close()
    assert ends == {True, False}


class RefusedPathDialer(RelayDialer):
    """A dialer whose direct path is refused at once."""

    async def _open_directly(self, upstream, stream):
        error = ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        stream.close(error)
        self.paths.record_failed(upstream, classify_failure(error))
        raise UpstreamUnreachable(f"{upstream.name} refuses")


class SilentClient:
    """Asks a peer that never answers."""

    def __init__(self):
        self.asked = asyncio.Event()
        self.waiting = 0

    async def open(self, peer, upstream):
        self.asked.set()
        self.waiting += 1
        try:
            await asyncio.Event().wait()
        finally:
            self.waiting -= 1


def make_connection(dialer_type, client):
    tables = Tables()
    tables.apply(make_service("desk", upstreams=1), revision=1)
    clock = SystemClock()
    dialer = dialer_type(
        paths=PathTable(clock=clock, tables=tables),
        chooser=OnePeer(),
        client=client,
        clock=clock,
    )
    row = tables.services["desk"].upstreams["u1"]
    return UpstreamConnection(upstream=row, clock=clock, dialer=dialer)


async def test_connection_that_is_closed_stops_waiting_for_a_silent_peer():
    # A request whose upstream had refused hung past its deadline, until the suspended
    # peer that was asked for a connection ran again (review/6).
    for dialer_type in (RefusedPathDialer, SilentPathDialer):
        client = SilentClient()
        conn = make_connection(dialer_type, client)
        connecting = asyncio.create_task(conn.connect())
        await client.asked.wait()
        conn.close()
        done, _ = await asyncio.wait([connecting], timeout=TIMEOUT_S)
        connecting.cancel()
        assert done, f"{dialer_type.__name__} still waits"
        assert isinstance(connecting.exception(), UpstreamUnreachable)
        await asyncio.sleep(0)
        assert client.waiting == 0


class HangingStream(IOStream):
    """A stream whose connection is neither accepted nor refused."""

    def connect(self, address, server_hostname=None):
        self._connecting = True
        self._connect_future = asyncio.get_running_loop().create_future()
        return self._connect_future


async def test_direct_connection_that_is_given_up_counts_as_timed_out():
    client = SilentClient()
    conn = make_connection(RelayDialer, client)
    conn.stream.close()
    conn.stream = HangingStream(socket.socket())
    connecting = asyncio.create_task(conn.connect())
    await client.asked.wait()
    conn.close()
    await asyncio.wait([connecting], timeout=TIMEOUT_S)
    assert isinstance(connecting.exception(), UpstreamUnreachable)
    assert conn._dialer.paths.connects == {ConnectFailure.TIMED_OUT: 1}
