"""The interface through which the core checks whether an upstream is reachable."""

from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["ReachabilityProbe"]


class ReachabilityProbe(ABC):
    """Opens and closes a connection to an upstream without sending a request."""

    @abstractmethod
    def check(self, address: str, port: int, done: Callable[[bool], None]) -> None:
        """
        Start a connection attempt and return without waiting for its result.

        :param address: IP address of the upstream
        :param port: TCP port of the upstream
        :param done: called with whether the connection was accepted
        """
