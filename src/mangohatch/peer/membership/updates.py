"""Changes of membership that wait to ride on probes and answers."""

import math
from dataclasses import dataclass

from mangohatch.peer.messages.membership import Member

__all__ = ["UpdateQueue"]

RETRANSMIT_FACTOR = 3


@dataclass(slots=True, kw_only=True)
class QueuedUpdate:
    """A change and the number of messages that carried it."""

    member: Member
    transmits: int = 0


class UpdateQueue:
    """Latest change of each member, each sent a number of times that grows as log n."""

    def __init__(self) -> None:
        self._items: dict[str, QueuedUpdate] = {}

    def put(self, member: Member) -> None:
        """
        Add a change; it replaces an older one of the same member.

        :param member: the changed member
        """
        self._items[member.host_id] = QueuedUpdate(member=member)

    def take(self, limit: int, *, fleet_size: int) -> list[Member]:
        """
        Choose changes for one message, those sent least first.

        :param limit: most changes to choose
        :param fleet_size: number of live members
        :return: the changes
        """
        if not self._items:
            return []
        bound = RETRANSMIT_FACTOR * math.ceil(math.log2(fleet_size + 1))
        chosen = sorted(self._items.values(), key=lambda item: item.transmits)[:limit]
        for item in chosen:
            item.transmits += 1
            if item.transmits >= bound:
                del self._items[item.member.host_id]
        return [item.member for item in chosen]
