"""Tests of the connection pool."""

import asyncio

from mangohatch.core.paths import PathTable
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.errors import UpstreamUnreachable
from mangohatch.upstream.dialer import Dialer
from mangohatch.upstream.pool import ConnectionPool
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

LOOPBACK = "127.0.0.1"


@fixture
def pool(clock):
    return ConnectionPool(
        clock=clock,
        dialer=Dialer(paths=PathTable(clock=clock, tables=Tables())),
        share=0.02,
    )


def make_row(port, connections=200):
    return UpstreamRow(
        service="a",
        name="u1",
        address=LOOPBACK,
        port=port,
        zone="puno",
        slots=2,
        connections=connections,
    )


async def listen(accept=None):
    server = await asyncio.start_server(accept or hold_open, LOOPBACK, 0)
    return server, make_row(server.sockets[0].getsockname()[1])


async def hold_open(reader, writer):
    await reader.read()
    writer.close()


async def acquire(pool, row, **options):
    conn = pool.acquire(row, **options)
    if not conn.connected:
        await conn.connect()
    return conn


async def test_most_recently_used_connection_is_reused(pool):
    server, row = await listen()
    conns = [await acquire(pool, row) for _ in range(3)]
    for conn in conns:
        pool.release(conn, reusable=True)
    assert pool.acquire(row) is conns[2]
    assert pool.acquire(row) is conns[1]
    assert pool.open_count(row) == 3
    server.close()


async def test_connections_are_bounded_by_the_share(pool):
    server, row = await listen()
    for _ in range(4):
        await acquire(pool, row)
    try:
        pool.acquire(row)
    except UpstreamUnreachable as exc:
        assert exc.outcome == "not_run"
    else:
        raise AssertionError("a fifth connection was given")
    server.close()


async def test_fresh_connection_replaces_an_idle_one_at_the_limit(pool):
    server, row = await listen()
    conns = [await acquire(pool, row) for _ in range(4)]
    pool.release(conns[0], reusable=True)
    fresh = await acquire(pool, row, fresh=True)
    assert fresh is not conns[0]
    assert conns[0].closed
    assert pool.open_count(row) == 4
    server.close()


async def test_idle_connections_expire(pool, clock):
    server, row = await listen()
    conn = await acquire(pool, row)
    pool.release(conn, reusable=True)
    clock.advance(30_001)
    pool.tick()
    assert conn.closed
    assert pool.open_count(row) == 0
    server.close()


async def test_recently_active_excludes_older_idle_connections(pool, clock):
    server, row = await listen()
    conn = await acquire(pool, row)
    pool.release(conn, reusable=True)
    clock.advance(400)
    assert pool.acquire(row, recently_active=True) is conn
    pool.release(conn, reusable=True)
    clock.advance(200)
    other = pool.acquire(row, recently_active=True)
    assert other is not conn
    assert not conn.closed
    assert pool.acquire(row) is conn
    server.close()


async def test_connection_closed_by_the_upstream_is_not_reused(pool):
    closed = asyncio.Event()

    async def close_at_once(reader, writer):
        writer.close()
        await writer.wait_closed()
        closed.set()

    server, row = await listen(close_at_once)
    conn = await acquire(pool, row)
    pool.release(conn, reusable=True)
    await closed.wait()
    assert pool.acquire(row) is not conn
    assert pool.open_count(row) == 1
    server.close()


async def test_abandoned_connect_does_not_leak(pool):
    server, row = await listen()
    conn = pool.acquire(row)
    connecting = asyncio.ensure_future(conn.connect())
    await asyncio.sleep(0)
    conn.close()
    pool.release(conn, reusable=False)
    try:
        await connecting
    except UpstreamUnreachable:
        pass
    assert conn.closed
    assert pool.open_count(row) == 0
    server.close()


async def test_silent_connection_drops_its_stale_siblings(pool, clock):
    server, row = await listen()
    old, silent, young = [await acquire(pool, row) for _ in range(3)]
    pool.release(old, reusable=True)
    clock.advance(10)
    silent.sent_ms = clock.now_ms()
    clock.advance(10)
    young.record_activity()
    pool.release(young, reusable=True)
    assert pool.drop_stale_siblings(silent) == 1
    assert old.closed
    assert not young.closed
    server.close()
