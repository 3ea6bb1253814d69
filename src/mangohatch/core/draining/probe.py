"""The interface through which the core learns whether an upstream is reachable."""

from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["ReachabilityProbe"]


class ReachabilityProbe(ABC):
    """Opens and closes a connection without sending a request."""

    @abstractmethod
    def check(self, address: str, port: int, done: Callable[[bool], None]) -> None:
        """
        Try to connect; does not wait.

        :param address: IP address of the upstream
        :param port: its TCP port
        :param done: takes whether the connection was accepted
        """
