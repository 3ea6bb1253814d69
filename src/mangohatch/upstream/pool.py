"""Connection pools of upstreams."""

from collections import deque
from dataclasses import dataclass, field

from mangohatch.clock import Clock
from mangohatch.core.tables import UpstreamRow
from mangohatch.errors import UpstreamUnreachable
from mangohatch.upstream.connection import UpstreamConnection
from mangohatch.upstream.dialer import Dialer, Reuse

__all__ = ["ConnectionPool"]

IDLE_TIMEOUT_MS = 30_000.0
RECENT_ACTIVITY_MS = 500.0
DEFAULT_SHARE = 1.0 / 17.0

Address = tuple[str, int]


@dataclass(slots=True)
class AddressPool:
    """Idle connections to an address, least recently used first, and the open count."""

    idle: deque[UpstreamConnection] = field(default_factory=deque)
    open: int = 0


class ConnectionPool:
    """
    Bounded pools of connections by upstream address, reused in LIFO order.

    :param clock: source of time
    :param dialer: opens the connections
    :param share: this host's fraction of the connections that an upstream accepts
    """

    def __init__(
        self, *, clock: Clock, dialer: Dialer, share: float = DEFAULT_SHARE
    ) -> None:
        self.share = share
        self._clock = clock
        self._dialer = dialer
        self._pools: dict[Address, AddressPool] = {}

    def open_count(self, upstream: UpstreamRow) -> int:
        """
        Count the connections to an upstream.

        :param upstream: the upstream
        :return: number of connections, in use and idle
        """
        pool = self._pools.get((upstream.address, upstream.port))
        return pool.open if pool else 0

    def idle_count(self, upstream: UpstreamRow) -> int:
        """
        Count the idle connections to an upstream.

        :param upstream: the upstream
        :return: number of connections that are not in use
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
        Acquire an idle connection, or create one that must still be connected.

        Each acquired connection must be returned with :meth:`release`.

        :param upstream: destination of the connection
        :param fresh: create a new connection even if an idle one is available
        :param recently_active: reuse an idle connection only if data has arrived on it
            within ``RECENT_ACTIVITY_MS``
        :return: a connection that is not in use by another request
        :raises UpstreamUnreachable: when this host's share of connections is in use
        """
        address = (upstream.address, upstream.port)
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = AddressPool()
        if not fresh:
            found = self._take_idle(pool, upstream, recently_active=recently_active)
            if found is not None:
                return found
        if pool.open >= self._limit(upstream) and not self._drop_oldest(pool):
            raise UpstreamUnreachable(f"all connections to {upstream.name} are in use")
        conn = UpstreamConnection(
            upstream=upstream, clock=self._clock, dialer=self._dialer
        )
        pool.open += 1
        return conn

    def _take_idle(
        self, pool: AddressPool, upstream: UpstreamRow, *, recently_active: bool
    ) -> UpstreamConnection | None:
        for conn in [*reversed(pool.idle)]:
            reuse = self._judge(conn)
            if reuse is Reuse.KEEP:
                continue
            age_ms = self._clock.now_ms() - conn.last_read_ms
            if recently_active and age_ms > RECENT_ACTIVITY_MS:
                return None
            pool.idle.remove(conn)
            usable = reuse is Reuse.USE and age_ms <= IDLE_TIMEOUT_MS
            if usable and conn.is_clean():
                conn.upstream = upstream
                return conn
            self._drop(pool, conn)
        return None

    def is_cut_off(self, conn: UpstreamConnection) -> bool:
        """
        Return whether a failure of a connection may be due to this host's own links.

        :param conn: a connection that failed
        :return: whether it was direct, and the direct path is lost
        """
        return not conn.relay and self._dialer.paths.is_lost(conn.upstream)

    def relay_zone(self, conn: UpstreamConnection) -> str:
        """
        Return the availability zone of the peer that a connection passes.

        :param conn: a connection through a peer
        :return: name of the zone, empty if it is not known
        """
        return self._dialer.relay_zone(conn.relay)

    def is_dead(self, conn: UpstreamConnection) -> bool:
        """
        Return whether nothing can arrive on a connection in use.

        :param conn: a connection from :meth:`acquire`
        :return: whether it is direct, and nothing has arrived on it since all paths to
            the zone of its upstream were lost
        """
        lost_ms = self._dialer.paths.zone_lost_ms(conn.upstream)
        return not conn.relay and lost_ms is not None and conn.last_read_ms < lost_ms

    def _drop_unusable_relays(self, pool: AddressPool) -> None:
        for conn in [item for item in pool.idle if item.relay]:
            if self._judge(conn) is Reuse.CLOSE:
                pool.idle.remove(conn)
                self._drop(pool, conn)

    def _judge(self, conn: UpstreamConnection) -> Reuse:
        return self._dialer.judge(conn.upstream, conn.last_read_ms, conn.relay)

    def release(self, conn: UpstreamConnection, *, reusable: bool) -> None:
        """
        Return a connection to the pool.

        :param conn: a connection from :meth:`acquire`
        :param reusable: whether its last response was read completely
        """
        upstream = conn.upstream
        pool = self._pools[(upstream.address, upstream.port)]
        if reusable and not conn.closed and not upstream.signs.leaving:
            pool.idle.append(conn)
        else:
            self._drop(pool, conn)

    def drop_idle(self, upstream: UpstreamRow) -> None:
        """
        Close the idle connections to an upstream that gets no new requests.

        :param upstream: the upstream
        """
        pool = self._pools.get((upstream.address, upstream.port))
        while pool is not None and pool.idle:
            self._drop(pool, pool.idle.pop())

    def drop_stale_siblings(self, conn: UpstreamConnection) -> int:
        """
        Drop idle connections to the address of a silent connection.

        Dropped are those on which nothing arrived since the silent one was last used.

        :param conn: the silent connection, which is considered dead
        :return: number of dropped connections
        """
        pool = self._pools[(conn.upstream.address, conn.upstream.port)]
        stale = [item for item in pool.idle if item.last_read_ms <= conn.sent_ms]
        for item in stale:
            pool.idle.remove(item)
            self._drop(pool, item)
        return len(stale)

    def tick(self) -> None:
        """Close connections that have been idle for longer than the timeout."""
        oldest_ms = self._clock.now_ms() - IDLE_TIMEOUT_MS
        for address, pool in list(self._pools.items()):
            while pool.idle and pool.idle[0].last_read_ms < oldest_ms:
                self._drop(pool, pool.idle.popleft())
            if self._dialer.has_relays:
                self._drop_unusable_relays(pool)
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
