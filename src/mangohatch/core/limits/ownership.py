"""Ownership of named limits that hold for all hosts together."""

import math
from collections.abc import Sequence

from mangohatch.clock import Clock
from mangohatch.peer.bus import MemberView, PeerBus
from mangohatch.ranking import rendezvous_hash

__all__ = ["LimitOwnership"]

SETTLE_MS = 3_000.0  # until a process that has just started knows its peers
MIN_MEMBERS = 2  # a host that hears no peer may be one of many


class LimitOwnership:
    """
    Determines which host keeps the tokens of a named limit, and what it may give out.

    Each host computes the owner of a name from its own members, without messages. While
    their member lists differ, several hosts may consider themselves the owner; the
    share of members that each of them sees bounds what they give out together.

    ``changed_ms`` is the monotonic time at which this host last saw other members.

    :param clock: source of time
    :param bus: the members
    :param settle_ms: time after the start before this host gives out anything
    :param min_members: members, including this host, below which it gives out nothing
    :param expected: members of which the settings tell, known or not
    :param rise_ms: time for which a larger share must hold before it is returned
    """

    def __init__(
        self,
        *,
        clock: Clock,
        bus: PeerBus,
        settle_ms: float = SETTLE_MS,
        min_members: int = MIN_MEMBERS,
        expected: int = 1,
        rise_ms: float = 0.0,
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._settled_ms = clock.now_ms() + settle_ms
        self._min_members = min_members
        self._members: Sequence[MemberView] = ()
        self._most_members = expected
        self._rise_ms = rise_ms
        self._share = math.inf
        self._rises_ms = -math.inf
        self._owners: dict[str, str] = {}
        self.changed_ms = clock.now_ms()

    def owner(self, name: str) -> str:
        """
        Return the host that owns a limit.

        :param name: name of the limit
        :return: id of the host, empty if there is no member that is not leaving
        """
        members = self._refresh()
        owner = self._owners.get(name)
        if owner is None:
            hosts = self._candidates(members)
            owner = self._owners[name] = min(
                hosts, key=lambda host: rendezvous_hash(name, host), default=""
            )
        return owner

    def owns(self, name: str) -> bool:
        """
        Return whether this host owns a limit.

        :param name: name of the limit
        :return: whether it is the owner
        """
        return self.owner(name) == self._bus.host_id

    def share(self) -> float:
        """
        Return the share of a limit that the hosts visible to this host may use.

        :return: members now by the most members seen so far, at most 1
        """
        share = len(self._refresh()) / self._most_members
        now_ms = self._clock.now_ms()
        if share <= self._share:
            self._share = share
            self._rises_ms = now_ms + self._rise_ms
        elif now_ms >= self._rises_ms:
            self._share = share
        return self._share

    def settled(self) -> bool:
        """
        Return whether this host may give out anything as an owner.

        :return: False shortly after the start, and while too few members are known
        """
        if self._clock.now_ms() < self._settled_ms:
            return False
        return len(self._refresh()) >= self._min_members

    def _candidates(self, members: Sequence[MemberView]) -> list[str]:
        return [item.host_id for item in members if not item.leaving]

    def settle_wait_ms(self) -> float:
        """
        Return how long this host gives out nothing after its start.

        :return: milliseconds, 0 once the time is over
        """
        return max(0.0, self._settled_ms - self._clock.now_ms())

    def _refresh(self) -> Sequence[MemberView]:
        members = self._bus.members()
        if members is not self._members:
            self._members = members
            self._most_members = max(self._most_members, len(members))
            self._owners.clear()
            self.changed_ms = self._clock.now_ms()
        return members
