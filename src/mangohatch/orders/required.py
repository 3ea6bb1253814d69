"""Which hosts must agree to an order and confirm it."""

from abc import ABC, abstractmethod
from collections.abc import Sequence, Set

from mangohatch.errors import StoreError
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.membership import MemberRow, Membership, MemberState
from mangohatch.store.host_list import HostList, ListedHost

__all__ = ["ListedRequirement", "LiveMemberRequirement", "RequiredHosts"]


class RequiredHosts(ABC):
    """Hosts that may serve requests by an old configuration."""

    async def refresh(self) -> None:
        """Bring what :meth:`required` rests on up to date; bounded in time."""

    @abstractmethod
    def required(self) -> Set[str]:
        """
        List the hosts, as of the last refresh or later.

        :return: host ids, this host included
        """


class LiveMemberRequirement(RequiredHosts):
    """
    The members believed alive, for a fleet whose failure detector is never wrong.

    :param bus: knows the members
    """

    def __init__(self, *, bus: PeerBus) -> None:
        self._bus = bus

    def required(self) -> Set[str]:
        return {view.host_id for view in self._bus.members()}


class ListedRequirement(RequiredHosts):
    """
    All members but those that left, or are dead and no longer on the host list.

    A host that nobody reaches may still serve callers, so it counts until the
    platform says that it is gone. The list is read only while there is a dead
    member.

    :param membership: knows the members, the dead included
    :param host_list: the platform's list
    """

    def __init__(self, *, membership: Membership, host_list: HostList) -> None:
        self._membership = membership
        self._host_list = host_list
        self._listed: Sequence[ListedHost] | None = None

    async def refresh(self) -> None:
        self._listed = None
        if any(is_dead(row) for row in self._membership.table.rows.values()):
            try:
                self._listed = (await self._host_list.read()).hosts
            except StoreError:
                self._listed = None

    def required(self) -> Set[str]:
        found = {self._membership.own.host_id}
        for row in self._membership.table.rows.values():
            if row.live or (is_dead(row) and self.may_be_running(row)):
                found.add(row.host_id)
        return found

    def may_be_running(self, row: MemberRow) -> bool:
        """
        Tell whether a dead member may still run.

        :param row: the member
        :return: False when the host list was read and does not name it
        """
        if self._listed is None:
            return True
        return any(matches_member(listed, row) for listed in self._listed)


def is_dead(row: MemberRow) -> bool:
    """
    Tell whether a member is believed dead, without having said that it leaves.

    :param row: the member
    :return: whether it is
    """
    return row.state is MemberState.DEAD


def matches_member(listed: ListedHost, row: MemberRow) -> bool:
    """
    Tell whether an entry of the host list means a member.

    :param listed: the entry
    :param row: the member
    :return: whether it does
    """
    if listed.name == row.host_id:
        return True
    if listed.address != row.endpoint.address:
        return False
    return listed.port in (None, row.endpoint.port)
