"""Stand-in for the platform's balancer, which chooses an entry host per request."""

import random
from collections import defaultdict

from tornado.tcpclient import TCPClient

from standins.caller.connection import Address, CallerConnection

__all__ = ["Balancer"]


class Balancer:
    """
    Spreads requests over entry hosts at random and pools idle connections.

    The balancer does no health checks. The set of hosts changes only through
    :meth:`add` and :meth:`remove`, which a test calls with the platform's delay.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.addresses: list[Address] = []
        self._rng = rng
        self._client = TCPClient()
        self._idle: defaultdict[Address, list[CallerConnection]] = defaultdict(list)

    def add(self, address: Address) -> None:
        """
        Add an entry host to those that receive new requests.

        :param address: IP address and port of the host's listener
        """
        self.addresses.append(address)

    def remove(self, address: Address) -> None:
        """
        Stop sending new requests to an entry host; requests in flight continue.

        :param address: IP address and port of the host's listener
        """
        self.addresses.remove(address)
        for conn in self._idle.pop(address, []):
            conn.close()

    def choose(self, avoid: Address | None) -> Address:
        """
        Choose an entry host at random.

        :param avoid: address of the host that the previous attempt used, if any
        :return: address of another host, or of any host when there is no other
        """
        others = [address for address in self.addresses if address != avoid]
        return self._rng.choice(others or self.addresses)

    async def acquire(self, address: Address) -> CallerConnection:
        """
        Take an idle connection or open a new one.

        :param address: address of the entry host
        :return: a connection that no other request uses
        :raises BrokenReply: when no connection can be opened
        """
        idle = self._idle[address]
        while idle:
            conn = idle.pop()
            if not conn.closed:
                return conn
        return await CallerConnection.open(self._client, address)

    def release(self, address: Address, conn: CallerConnection) -> None:
        """
        Return a connection to the pool, or close it if it cannot be reused.

        :param address: address of the entry host at its other end
        :param conn: the connection
        """
        if conn.reusable and address in self.addresses:
            self._idle[address].append(conn)
        else:
            conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()
