"""Tests of the connection pool."""

import asyncio

from mangohatch.core.tables import UpstreamRow
from mangohatch.errors import UpstreamUnreachable
from mangohatch.upstream.pool import ConnectionPool
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

LOOPBACK = "127.0.0.1"


@fixture
def pool(clock):
    return ConnectionPool(clock=clock, share=0.02)


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
    server = await asyncio.start_server(accept or keep, LOOPBACK, 0)
    return server, make_row(server.sockets[0].getsockname()[1])


async def keep(reader, writer):
    await reader.read()
    writer.close()


async def take(pool, row, **options):
    conn = pool.take(row, **options)
    if not conn.connected:
        await conn.connect()
    return conn


async def test_most_recent_connection_is_reused(pool):
    server, row = await listen()
    conns = [await take(pool, row) for _ in range(3)]
    for conn in conns:
        pool.give_back(conn, reusable=True)
    assert pool.take(row) is conns[2]
    assert pool.take(row) is conns[1]
    assert pool.open_count(row) == 3
    server.close()


async def test_connections_are_bounded_by_the_share(pool):
    server, row = await listen()
    for _ in range(4):
        await take(pool, row)
    try:
        pool.take(row)
    except UpstreamUnreachable as exc:
        assert exc.outcome == "not_run"
    else:
        raise AssertionError("a fifth connection was given")
    server.close()


async def test_fresh_connection_replaces_an_idle_one_at_the_bound(pool):
    server, row = await listen()
    conns = [await take(pool, row) for _ in range(4)]
    pool.give_back(conns[0], reusable=True)
    fresh = await take(pool, row, fresh=True)
    assert fresh is not conns[0]
    assert conns[0].closed
    assert pool.open_count(row) == 4
    server.close()


async def test_idle_connections_expire(pool, clock):
    server, row = await listen()
    conn = await take(pool, row)
    pool.give_back(conn, reusable=True)
    clock.advance(30_001)
    pool.tick()
    assert conn.closed
    assert pool.open_count(row) == 0
    server.close()


async def test_lively_use_needs_a_recent_sign_of_life(pool, clock):
    server, row = await listen()
    conn = await take(pool, row)
    pool.give_back(conn, reusable=True)
    clock.advance(400)
    assert pool.take(row, lively=True) is conn
    pool.give_back(conn, reusable=True)
    clock.advance(200)
    other = pool.take(row, lively=True)
    assert other is not conn
    assert not conn.closed
    assert pool.take(row) is conn
    server.close()


async def test_connection_closed_by_the_upstream_is_not_reused(pool):
    closed = asyncio.Event()

    async def hang_up(reader, writer):
        writer.close()
        await writer.wait_closed()
        closed.set()

    server, row = await listen(hang_up)
    conn = await take(pool, row)
    pool.give_back(conn, reusable=True)
    await closed.wait()
    assert pool.take(row) is not conn
    assert pool.open_count(row) == 1
    server.close()


async def test_abandoned_connect_leaks_nothing(pool):
    server, row = await listen()
    conn = pool.take(row)
    connecting = asyncio.ensure_future(conn.connect())
    await asyncio.sleep(0)
    conn.close()
    pool.give_back(conn, reusable=False)
    try:
        await connecting
    except UpstreamUnreachable:
        pass
    assert conn.closed
    assert pool.open_count(row) == 0
    server.close()


async def test_silent_connection_takes_its_older_siblings_along(pool, clock):
    server, row = await listen()
    old, silent, young = [await take(pool, row) for _ in range(3)]
    pool.give_back(old, reusable=True)
    clock.advance(10)
    silent.sent_ms = clock.now_ms()
    clock.advance(10)
    young.mark_alive()
    pool.give_back(young, reusable=True)
    assert pool.drop_silent(silent) == 1
    assert old.closed
    assert not young.closed
    server.close()
