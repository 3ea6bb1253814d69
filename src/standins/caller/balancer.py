"""The platform's balancer as callers see it: some entry host gets the request."""

import random
from collections import defaultdict

from tornado.tcpclient import TCPClient

from standins.caller.connection import Address, CallerConnection

__all__ = ["Balancer"]


class Balancer:
    """
    Spreads requests over entry hosts.

    It learns of hosts that come and go only when told, as late as the platform
    tells it.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.addresses: list[Address] = []
        self._rng = rng
        self._client = TCPClient()
        self._idle: defaultdict[Address, list[CallerConnection]] = defaultdict(list)

    def add(self, address: Address) -> None:
        """
        Send requests to an entry host from now on.

        :param address: where it listens
        """
        self.addresses.append(address)

    def remove(self, address: Address) -> None:
        """
        Send no new request to an entry host; those in flight go on.

        :param address: where it listens
        """
        self.addresses.remove(address)
        for conn in self._idle.pop(address, []):
            conn.close()

    def choose(self, avoid: Address | None) -> Address:
        """
        Choose an entry host.

        :param avoid: the host that an earlier attempt used
        :return: another one where there is one
        """
        others = [address for address in self.addresses if address != avoid]
        return self._rng.choice(others or self.addresses)

    async def acquire(self, address: Address) -> CallerConnection:
        """
        Take an idle connection or open one.

        :param address: an entry host
        :return: a connection that no other request uses
        :raises BrokenReply: when none can be opened
        """
        idle = self._idle[address]
        while idle:
            conn = idle.pop()
            if not conn.closed:
                return conn
        return await CallerConnection.open(self._client, address)

    def release(self, address: Address, conn: CallerConnection) -> None:
        """
        Give a connection back after a request.

        :param address: the entry host that it leads to
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
