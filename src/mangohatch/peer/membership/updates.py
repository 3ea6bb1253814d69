"""Membership updates that wait to be piggybacked on pings and acks."""

import itertools
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
        self._by_transmits: list[dict[str, QueuedUpdate]] = []

    def put(self, member: Member) -> None:
        """
        Add an update; it replaces an older one of the same member.

        :param member: entry of the member that changed
        """
        self.remove(member.host_id)
        self.insert(QueuedUpdate(member=member))

    def remove(self, host_id: str) -> None:
        """
        Remove the update of a member if there is one.

        :param host_id: host id of the member
        """
        item = self._items.pop(host_id, None)
        if item is not None:
            del self._by_transmits[item.transmits][host_id]

    def insert(self, item: QueuedUpdate) -> None:
        """
        Insert an update behind those sent as many times.

        :param item: the update
        """
        while len(self._by_transmits) <= item.transmits:
            self._by_transmits.append({})
        self._items[item.member.host_id] = item
        self._by_transmits[item.transmits][item.member.host_id] = item

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
        fewest_first = (item for items in self._by_transmits for item in items.values())
        chosen = list(itertools.islice(fewest_first, limit))
        for item in chosen:
            self.remove(item.member.host_id)
            item.transmits += 1
            if item.transmits < bound:
                self.insert(item)
        return [item.member for item in chosen]
