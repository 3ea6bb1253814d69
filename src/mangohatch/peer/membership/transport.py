"""Interface through which the membership protocol sends its messages."""

from abc import ABC, abstractmethod
from typing import Any

from mangohatch.peer.membership.table import Endpoint

__all__ = ["MemberTransport"]


class MemberTransport(ABC):
    """Sends messages to endpoints without blocking; messages may be lost."""

    @abstractmethod
    def send_to(self, endpoint: Endpoint, message: Any) -> None:
        """
        Send a message to a peer.

        :param endpoint: address and port on which the peer listens
        :param message: an instance of a class of :mod:`mangohatch.peer.messages`
        """
