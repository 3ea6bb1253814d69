"""How the membership protocol sends its messages."""

from abc import ABC, abstractmethod
from typing import Any

from mangohatch.peer.membership.table import Endpoint

__all__ = ["MemberTransport"]


class MemberTransport(ABC):
    """Sends messages to addresses; nothing blocks and anything may be lost."""

    @abstractmethod
    def send_to(self, endpoint: Endpoint, message: Any) -> None:
        """
        Send a message to a peer address.

        :param endpoint: where the peer listens
        :param message: an instance of a class of :mod:`mangohatch.peer.messages`
        """
