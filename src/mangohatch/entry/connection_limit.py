"""Choice of the connection that ends when callers have too many."""

import math
from collections.abc import Hashable
from itertools import islice
from typing import Generic, Protocol, TypeVar

__all__ = ["ConnectionLimit"]

MAX_LOOKS = 16  # connections that are looked at to find an idle one


class Connection(Hashable, Protocol):
    """A caller's connection."""

    @property
    def idle(self) -> bool:
        """Whether no request has started on it."""


T = TypeVar("T", bound=Connection)


class ConnectionLimit(Generic[T]):
    """
    Keeps the connections of callers below a number.

    Designed for crowds of callers that keep idle connections until this host has no
    descriptor left, neither for other callers nor for upstreams. The connection that
    has been idle for longest makes room for a new one, as its caller is the least
    likely to use it again; without an idle one there is no room.

    ``evicted`` counts the connections that made room, and ``refused`` those that
    found none.

    :param most: largest number of connections
    """

    def __init__(self, *, most: float = math.inf) -> None:
        self.most = most
        self.evicted = 0
        self.refused = 0
        self._waiting: dict[T, None] = {}

    def record_waiting(self, connection: T) -> None:
        """
        Record that a connection waits for its next request.

        :param connection: the connection
        """
        self._waiting.pop(connection, None)
        self._waiting[connection] = None

    def record_busy(self, connection: T) -> None:
        """
        Record that a connection has a request, or has ended.

        :param connection: the connection
        """
        self._waiting.pop(connection, None)

    def has_room(self, count: int) -> bool:
        """
        Return whether one more connection is below the limit.

        :param count: number of connections
        :return: whether it is
        """
        return count < self.most

    def take_idle(self) -> T | None:
        """
        Choose the connection that makes room for a new one.

        :return: the connection, which has to be closed; None if there is no room
        """
        for connection in [*islice(self._waiting, MAX_LOOKS)]:
            if connection.idle:
                self._waiting.pop(connection)
                self.evicted += 1
                return connection
            self.record_waiting(connection)  # a part of a request has arrived on it
        self.refused += 1
        return None
