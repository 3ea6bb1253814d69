"""Pools of connections to upstreams."""

from collections import deque
from dataclasses import dataclass, field

from mangohatch.clock import Clock
from mangohatch.core.tables import UpstreamRow
from mangohatch.errors import UpstreamUnreachable
from mangohatch.upstream.connection import UpstreamConnection

__all__ = ["ConnectionPool"]

IDLE_EXPIRY_MS = 30_000.0
LIFE_SIGN_MS = 500.0
DEFAULT_SHARE = 1.0 / 17.0

Address = tuple[str, int]


@dataclass(slots=True)
class Site:
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
        self._sites: dict[Address, Site] = {}

    def open_count(self, upstream: UpstreamRow) -> int:
        """
        Count the connections to an upstream.

        :param upstream: the upstream
        :return: connections in use and idle
        """
        site = self._sites.get((upstream.address, upstream.port))
        return site.open if site else 0

    def idle_count(self, upstream: UpstreamRow) -> int:
        """
        Count the idle connections to an upstream.

        :param upstream: the upstream
        :return: connections that no request uses
        """
        site = self._sites.get((upstream.address, upstream.port))
        return len(site.idle) if site else 0

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
        site = self._sites.get(address)
        if site is None:
            site = self._sites[address] = Site()
        while site.idle and not fresh:
            conn = site.idle[-1]
            age_ms = self._clock.now_ms() - conn.last_read_ms
            if recently_active and age_ms > LIFE_SIGN_MS:
                break
            site.idle.pop()
            if age_ms <= IDLE_EXPIRY_MS and conn.is_clean():
                conn.upstream = upstream
                return conn
            self._drop(site, conn)
        if site.open >= self._limit(upstream) and not self._drop_oldest(site):
            raise UpstreamUnreachable(f"all connections to {upstream.name} are in use")
        site.open += 1
        return UpstreamConnection(upstream=upstream, clock=self._clock)

    def release(self, conn: UpstreamConnection, *, reusable: bool) -> None:
        """
        End the use of a connection.

        :param conn: a connection from :meth:`acquire`
        :param reusable: whether its last response was read whole
        """
        upstream = conn.upstream
        site = self._sites[(upstream.address, upstream.port)]
        if reusable and not conn.closed:
            site.idle.append(conn)
        else:
            self._drop(site, conn)

    def drop_stale_siblings(self, conn: UpstreamConnection) -> int:
        """
        Drop the idle siblings that showed no life since a silent one was used.

        :param conn: the connection that is taken for dead
        :return: how many were dropped
        """
        site = self._sites[(conn.upstream.address, conn.upstream.port)]
        doubtful = [item for item in site.idle if item.last_read_ms <= conn.sent_ms]
        for item in doubtful:
            site.idle.remove(item)
            self._drop(site, item)
        return len(doubtful)

    def tick(self) -> None:
        """Close connections that were idle for too long."""
        oldest_ms = self._clock.now_ms() - IDLE_EXPIRY_MS
        for address, site in list(self._sites.items()):
            while site.idle and site.idle[0].last_read_ms < oldest_ms:
                self._drop(site, site.idle.popleft())
            if not site.open:
                del self._sites[address]

    def close(self) -> None:
        """Close all idle connections."""
        for site in self._sites.values():
            while site.idle:
                self._drop(site, site.idle.pop())

    def _limit(self, upstream: UpstreamRow) -> int:
        return max(upstream.slots, int(upstream.connections * self.share))

    def _drop(self, site: Site, conn: UpstreamConnection) -> None:
        conn.close()
        site.open -= 1

    def _drop_oldest(self, site: Site) -> bool:
        if not site.idle:
            return False
        self._drop(site, site.idle.popleft())
        return True
