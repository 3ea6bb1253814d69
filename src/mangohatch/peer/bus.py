"""Interface of the message bus between entry hosts."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

__all__ = ["Handler", "MemberView", "PeerBus"]

Handler = Callable[[str, Any], None]


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberView:
    """View of a live member of the fleet, which may be this host itself."""

    host_id: str
    incarnation: int
    zone: str
    leaving: bool = False


class PeerBus(ABC):
    """Best-effort delivery of messages to other entry hosts; no method blocks."""

    @property
    @abstractmethod
    def host_id(self) -> str:
        """Return the id of this host."""

    @abstractmethod
    def members(self) -> Sequence[MemberView]:
        """
        List the live members of the fleet.

        :return: members sorted by host id, including this host
        """

    @abstractmethod
    def send(self, host_id: str, message: Any) -> bool:
        """
        Send a message, which may be lost, duplicated or delayed.

        :param host_id: id of the receiving host
        :param message: an instance of a class of :mod:`mangohatch.peer.messages`
        :return: False if the receiver is not known to be alive; True does not confirm
            delivery
        """

    @abstractmethod
    def broadcast(self, message: Any) -> None:
        """
        Send a message to every live member except this host.

        :param message: an instance of a class of :mod:`mangohatch.peer.messages`
        """

    def multicast(self, host_ids: Iterable[str], message: Any) -> None:
        """
        Send a message to some members; this host is left out.

        :param host_ids: ids of the receiving hosts
        :param message: an instance of a class of :mod:`mangohatch.peer.messages`
        """
        for host_id in host_ids:
            if host_id != self.host_id:
                self.send(host_id, message)

    @abstractmethod
    def subscribe(self, message_type: type, handler: Handler) -> None:
        """
        Register a handler for received messages of one type.

        :param message_type: a class of :mod:`mangohatch.peer.messages`
        :param handler: called with the sender's host id and the message
        """
