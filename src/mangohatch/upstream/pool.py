"""Pools of connections to upstreams."""

from collections import deque

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from mangohatch.clock import Clock
from mangohatch.core.tables import UpstreamRow
from mangohatch.errors import UpstreamUnreachable
from mangohatch.upstream.connection import UpstreamConnection

__all__ = ["ConnectionPool"]

Address = tuple[str, int]


class ConnectionPool:
    """Idle connections by upstream address, most recently used first."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._client = TCPClient()
        self._idle: dict[Address, deque[UpstreamConnection]] = {}

    async def acquire(self, upstream: UpstreamRow) -> UpstreamConnection:
        """
        Take an idle connection or open one.

        :param upstream: where to connect
        :return: a connection that no other request uses
        :raises UpstreamUnreachable: when no connection can be opened
        """
        idle = self._idle.get((upstream.address, upstream.port))
        while idle:
            conn = idle.pop()
            if not conn.closed:
                return conn
        try:
            stream = await self._client.connect(upstream.address, upstream.port)
        except (StreamClosedError, OSError) as exc:
            detail = f"upstream {upstream.name} accepts no connection"
            raise UpstreamUnreachable(detail) from exc
        stream.set_nodelay(True)
        return UpstreamConnection(stream=stream, clock=self._clock)

    def put(self, upstream: UpstreamRow, conn: UpstreamConnection) -> None:
        """
        Return a connection for reuse.

        :param upstream: the upstream it leads to
        :param conn: a connection whose last response was read whole
        """
        idle = self._idle.setdefault((upstream.address, upstream.port), deque())
        idle.append(conn)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()
