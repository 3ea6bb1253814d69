"""Membership updates that wait to be piggybacked on pings and acks."""

import math
from dataclasses import dataclass

from mangohatch.peer.messages.membership import Member

__all__ = ["UpdateQueue"]

RETRANSMIT_FACTOR = 3


@dataclass(slots=True, kw_only=True)
class QueuedUpdate:
    """An update and the number of messages that have carried it."""

    member: Member
    transmits: int = 0


class UpdateQueue:
    """
    Latest update of each member, to be piggybacked on pings and acks.

    Each update is sent a number of times that grows with the logarithm of the
    fleet size.
    """

    def __init__(self) -> None:
        self._items: dict[str, QueuedUpdate] = {}

    def put(self, member: Member) -> None:
        """
        Add an update; it replaces an older one of the same member.

        :param member: entry of the member that changed
        """
        self._items[member.host_id] = QueuedUpdate(member=member)

    def take(self, limit: int, *, fleet_size: int) -> list[Member]:
        """
        Take updates for one message, those sent the fewest times first.

        :param limit: maximum number of updates
        :param fleet_size: number of known members, this host included
        :return: entries of the members that changed
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
