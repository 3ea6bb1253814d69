"""The interface through which all parts of a host talk to other hosts."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

__all__ = ["Handler", "MemberView", "PeerBus"]

Handler = Callable[[str, Any], None]


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberView:
    """A live member of the fleet, this host included."""

    host_id: str
    incarnation: int
    zone: str
    leaving: bool = False


class PeerBus(ABC):
    """Best-effort messages to other entry hosts; nothing blocks."""

    @property
    @abstractmethod
    def host_id(self) -> str:
        """Id of this host."""

    @abstractmethod
    def members(self) -> Sequence[MemberView]:
        """
        List the members believed alive.

        :return: members in the order of host id, this host included
        """

    @abstractmethod
    def send(self, host_id: str, message: Any) -> bool:
        """
        Send a message; it may be lost, duplicated or delayed.

        :param host_id: the receiver
        :param message: an instance of a class of :mod:`mangohatch.peer.messages`
        :return: False when the receiver is not known to be alive
        """

    @abstractmethod
    def broadcast(self, message: Any) -> None:
        """
        Send a message to every live member but this one.

        :param message: an instance of a class of :mod:`mangohatch.peer.messages`
        """

    @abstractmethod
    def subscribe(self, message_type: type, handler: Handler) -> None:
        """
        Call a handler for each received message of a type.

        :param message_type: a class of :mod:`mangohatch.peer.messages`
        :param handler: takes the sender's host id and the message
        """
