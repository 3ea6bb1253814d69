"""Tests of hosts with as many connections of callers as they may have."""

import asyncio
from unittest import mock

from mangohatch.entry.connection_limit import MAX_LOOKS, ConnectionLimit
from mangohatch.upstream import connection as connection_module
from tests.entry.harness import TIMEOUT_S, fixed, open_entry, request
from tests.functions import function_tests

load_tests = function_tests(__name__)

MOST = 3


class Connection:
    def __init__(self, *, idle=True):
        self.idle = idle


def make_limit(*connections):
    limit = ConnectionLimit(most=MOST)
    for connection in connections:
        limit.record_waiting(connection)
    return limit


def test_connection_that_is_idle_for_longest_makes_room():
    first, second, third = (Connection() for _ in range(3))
    limit = make_limit(first, second, third)
    assert limit.has_room(MOST - 1) and not limit.has_room(MOST)
    limit.record_busy(second)
    limit.record_waiting(first)
    assert [limit.take_idle(), limit.take_idle()] == [third, first]
    assert limit.take_idle() is None
    assert (limit.evicted, limit.refused) == (2, 1)


def test_connections_with_a_part_of_a_request_do_not_hide_idle_ones():
    parts = [Connection(idle=False) for _ in range(3 * MAX_LOOKS)]
    idle = Connection()
    limit = make_limit(*parts, idle)
    assert [limit.take_idle() for _ in range(4)] == [None, None, None, idle]


async def answer(upstream, message, writer):
    writer.write(fixed())


async def test_request_is_served_beside_as_many_idle_connections_as_there_may_be():
    # A host whose descriptors were all taken by idle connections accepted no other
    # connection, and the requests on those got no answer (review/9).
    async with open_entry(answer) as (entry, upstreams):
        entry.server.connection_limit.most = MOST
        callers = [await entry.connect() for _ in range(MOST)]
        for caller in callers:
            assert (await caller.fetch()).status == 200
        late = await entry.connect()
        assert (await late.fetch()).status == 200
        assert await callers[0].read_to_end() == b""
        assert (await callers[1].fetch()).status == 200
        assert len(entry.server.sessions) == MOST
        assert entry.server.connection_limit.evicted == 1


async def test_connection_without_room_is_closed_at_once():
    async def work(upstream, message, writer):
        await asyncio.Event().wait()

    async with open_entry(work) as (entry, upstreams):
        entry.server.connection_limit.most = MOST
        callers = [await entry.connect() for _ in range(MOST)]
        for caller in callers:
            await caller.send(request())
        async with asyncio.timeout(TIMEOUT_S):
            while len(entry.forwarder.active) < MOST:
                await asyncio.sleep(0)
        late = await entry.connect()
        assert await late.read_to_end() == b""
        assert len(entry.forwarder.active) == MOST
        assert entry.server.connection_limit.refused == 1


async def test_connection_without_a_descriptor_takes_no_place_of_its_upstream():
    # Each failure to open a socket took one of its upstream's connections for good.
    async with open_entry(answer) as (entry, upstreams):
        (row,) = entry.tables.upstreams()
        error = OSError(24, "Too many open files")
        with mock.patch.object(connection_module, "open_stream", side_effect=error):
            for _ in range(2):
                try:
                    entry.pool.acquire(row)
                except OSError:
                    continue
                raise AssertionError("a connection without a socket was opened")
        assert entry.pool.open_count(row) == 0
