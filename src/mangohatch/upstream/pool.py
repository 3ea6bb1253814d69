"""Pools of connections to upstreams."""

from collections import deque
from dataclasses import dataclass, field

from mangohatch.clock import Clock
from mangohatch.core.tables import UpstreamRow
from mangohatch.errors import UpstreamUnreachable
from mangohatch.upstream.connection import UpstreamConnection

__all__ = ["ConnectionPool"]

IDLE_TIMEOUT_MS = 30_000.0
RECENT_ACTIVITY_MS = 500.0
DEFAULT_SHARE = 1.0 / 17.0

Address = tuple[str, int]


@dataclass(slots=True)
class AddressPool:
    """Connections to one address: the idle ones, oldest use first, and a count."""

    idle: deque[UpstreamConnection] = field(default_factory=deque)
    open: int = 0


class ConnectionPool:
    """
    Bounded connections by upstream address, the most recently used first.

    :param clock: time of idle expiry and of signs of life
    :param share: this host's part of the connections that an upstream accepts
    """

    def __init__(self, *, clock: Clock, share: float = DEFAULT_SHARE) -> None:
        self.share = share
        self._clock = clock
        self._pools: dict[Address, AddressPool] = {}

    def open_count(self, upstream: UpstreamRow) -> int:
        """
        Count the connections to an upstream.

        :param upstream: the upstream
        :return: connections in use and idle
        """
        pool = self._pools.get((upstream.address, upstream.port))
        return pool.open if pool else 0

    def idle_count(self, upstream: UpstreamRow) -> int:
        """
        Count the idle connections to an upstream.

        :param upstream: the upstream
        :return: connections that no request uses
        """
        pool = self._pools.get((upstream.address, upstream.port))
        return len(pool.idle) if pool else 0

    def acquire(
        self,
        upstream: UpstreamRow,
        *,
        fresh: bool = False,
        recently_active: bool = False,
    ) -> UpstreamConnection:
        """
        Take an idle connection or make one that is yet to be connected.

        Each connection taken must come back through :meth:`release`.

        :param upstream: where the connection leads
        :param fresh: never take an idle connection
        :param recently_active: take an idle connection only after a recent sign of life
        :return: a connection that no other request uses
        :raises UpstreamUnreachable: when this host has its share of connections
        """
        address = (upstream.address, upstream.port)
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = AddressPool()
        while pool.idle and not fresh:
            conn = pool.idle[-1]
            age_ms = self._clock.now_ms() - conn.last_read_ms
            if recently_active and age_ms > RECENT_ACTIVITY_MS:
                break
            pool.idle.pop()
            if age_ms <= IDLE_TIMEOUT_MS and conn.is_clean():
                conn.upstream = upstream
                return conn
            self._drop(pool, conn)
        if pool.open >= self._limit(upstream) and not self._drop_oldest(pool):
            raise UpstreamUnreachable(f"all connections to {upstream.name} are in use")
        pool.open += 1
        return UpstreamConnection(upstream=upstream, clock=self._clock)

    def release(self, conn: UpstreamConnection, *, reusable: bool) -> None:
        """
        End the use of a connection.

        :param conn: a connection from :meth:`acquire`
        :param reusable: whether its last response was read whole
        """
        upstream = conn.upstream
        pool = self._pools[(upstream.address, upstream.port)]
        if reusable and not conn.closed:
            pool.idle.append(conn)
        else:
            self._drop(pool, conn)

    def drop_stale_siblings(self, conn: UpstreamConnection) -> int:
        """
        Drop the idle siblings that showed no life since a silent one was used.

        :param conn: the connection that is taken for dead
        :return: how many were dropped
        """
        pool = self._pools[(conn.upstream.address, conn.upstream.port)]
        stale = [item for item in pool.idle if item.last_read_ms <= conn.sent_ms]
        for item in stale:
            pool.idle.remove(item)
            self._drop(pool, item)
        return len(stale)

    def tick(self) -> None:
        """Close connections that were idle for too long."""
        oldest_ms = self._clock.now_ms() - IDLE_TIMEOUT_MS
        for address, pool in list(self._pools.items()):
            while pool.idle and pool.idle[0].last_read_ms < oldest_ms:
                self._drop(pool, pool.idle.popleft())
            if not pool.open:
                del self._pools[address]

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            while pool.idle:
                self._drop(pool, pool.idle.pop())

    def _limit(self, upstream: UpstreamRow) -> int:
        return max(upstream.slots, int(upstream.connections * self.share))

    def _drop(self, pool: AddressPool, conn: UpstreamConnection) -> None:
        conn.close()
        pool.open -= 1

    def _drop_oldest(self, pool: AddressPool) -> bool:
        if not pool.idle:
            return False
        self._drop(pool, pool.idle.popleft())
        return True
