"""Tests of connections to upstreams that are closed while they are opened."""

import asyncio
import socket

from tornado.iostream import IOStream

from mangohatch.core.paths import PathTable
from mangohatch.core.tables import Tables
from mangohatch.errors import UpstreamUnreachable
from mangohatch.upstream.connection import UpstreamConnection
from mangohatch.upstream.dialer import Dialer, OpenedStream
from tests.fixtures import make_service
from tests.functions import function_tests

load_tests = function_tests(__name__)


class SlowDialer(Dialer):
    """Opens a relayed stream when the test allows it."""

    def __init__(self, **parts):
        super().__init__(**parts)
        self.allowed = asyncio.Event()
        self.closed = []
        near, self.far = socket.socketpair()
        self.stream = IOStream(near)

    async def open(self, upstream, stream, *, given_up=None):
        await self.allowed.wait()
        return OpenedStream(stream=self.stream, relay="peer")

    def record_closed(self, relay):
        self.closed.append(relay)


async def test_connection_closed_while_a_peer_opens_it_leaves_no_stream(clock):
    tables = Tables()
    tables.apply(make_service("desk", upstreams=1), revision=1)
    dialer = SlowDialer(paths=PathTable(clock=clock, tables=tables))
    conn = UpstreamConnection(
        upstream=tables.services["desk"].upstreams["u1"], clock=clock, dialer=dialer
    )
    connecting = asyncio.create_task(conn.connect())
    await asyncio.sleep(0)
    conn.close()
    dialer.allowed.set()
    try:
        await connecting
    except UpstreamUnreachable:
        pass
    else:
        raise AssertionError("a closed connection was opened")
    assert conn.closed and dialer.stream.closed()
    assert dialer.closed == ["peer"]
    dialer.far.close()
