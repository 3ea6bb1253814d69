"""Determines which hosts must vote on an order and confirm it."""

from abc import ABC, abstractmethod
from collections.abc import Sequence, Set

from mangohatch.errors import StoreError
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.membership import MemberRow, Membership, MemberState
from mangohatch.store.host_list import HostList, ListedHost

__all__ = ["ListedRequirement", "LiveMemberRequirement", "RequiredHosts"]


class RequiredHosts(ABC):
    """The hosts that may serve requests with an outdated configuration."""

    async def refresh(self) -> None:
        """Update the data behind :meth:`required` within a bounded time."""

    @abstractmethod
    def required(self) -> Set[str]:
        """
        Return the required hosts, as of the last refresh or later.

        :return: host ids, including the id of this host
        """


class LiveMemberRequirement(RequiredHosts):
    """
    Requires the members reported as alive.

    Only for fleets whose failure detector is never wrong.

    :param bus: message bus that lists the live members
    """

    def __init__(self, *, bus: PeerBus) -> None:
        self._bus = bus

    def required(self) -> Set[str]:
        return {view.host_id for view in self._bus.members()}


class ListedRequirement(RequiredHosts):
    """
    Requires all members, except left ones and dead ones that are no longer listed.

    A host that no other host can reach may still serve callers. It is therefore
    required until the platform removes it from the host list. The list is read only
    while there is a dead member.

    :param membership: table of members, including dead ones
    :param host_list: host list of the platform
    """

    def __init__(self, *, membership: Membership, host_list: HostList) -> None:
        self._membership = membership
        self._host_list = host_list
        self._listed: Sequence[ListedHost] | None = None

    async def refresh(self) -> None:
        self._listed = None
        if any(is_dead(row) for row in self._membership.table.rows.values()):
            try:
                listing = await self._host_list.read()
            except StoreError:
                return
            # An entry that can't be read may be that of the dead member.
            self._listed = listing.hosts if listing.complete else None

    def required(self) -> Set[str]:
        found = {self._membership.own.host_id}
        for row in self._membership.table.rows.values():
            if row.live or (is_dead(row) and self.may_be_running(row)):
                found.add(row.host_id)
        return found

    def may_be_running(self, row: MemberRow) -> bool:
        """
        Return whether a dead member may still be running.

        :param row: the member
        :return: False if the host list was read and does not contain the member
        """
        if self._listed is None:
            return True
        return any(matches_member(listed, row) for listed in self._listed)


def is_dead(row: MemberRow) -> bool:
    """
    Return whether a member was declared dead without announcing that it leaves.

    :param row: the member
    :return: whether its state is ``DEAD``
    """
    return row.state is MemberState.DEAD


def matches_member(listed: ListedHost, row: MemberRow) -> bool:
    """
    Return whether an entry of the host list refers to a member.

    :param listed: entry of the host list
    :param row: the member
    :return: whether the name, or the address and any listed port, are the same
    """
    if listed.name == row.host_id:
        return True
    if listed.address != row.endpoint.address:
        return False
    return listed.port in (None, row.endpoint.port)
