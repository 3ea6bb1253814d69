"""Owners of quotas, and the share of the fleet that this host sees."""

import math
from collections.abc import Sequence

from mangohatch.clock import Clock
from mangohatch.core.limits.ownership import LimitOwnership
from mangohatch.peer.bus import MemberView, PeerBus

__all__ = ["START_MS", "QuotaMembers"]

START_MS = 1_000.0  # in which a process that has just started gets to know its peers
MATURE_MS = 3_000.0
MATURE_SHARE = 0.75  # of the hosts; otherwise many have just started
LEARN_MS = 10_000.0
# From the first to the last host that notices a change of members.
STABLE_MS = 1_000.0
MAX_UNSTABLE_MS = 2_000.0
FREEZE_MS = 700.0  # 13 hosts noticed a partition within 200 ms of each other
# Hosts that were lost this long ago count as gone, not as partitioned.
FORGET_MS = 3_600_000.0


class QuotaMembers(LimitOwnership):
    """
    Determines the owner of each account and how much an owner may give out.

    Only hosts that started ``MATURE_MS`` ago own accounts, so that a host is not asked
    before it knows its peers and they know it; unless many have just started, as after
    a power loss. The share is the number of members by the largest number
    that was seen; hosts that left regularly no longer count. A process that starts
    learns the largest number from its peers, as it may start in a part of a partitioned
    fleet. The share falls at once, and rises when it has been larger for ``STABLE_MS``,
    since the owner on another side may not have noticed yet that the parts see each
    other again.

    :param clock: source of time
    :param bus: the members
    :param alone: whether the settings name no other host
    """

    def __init__(self, *, clock: Clock, bus: PeerBus, alone: bool = False) -> None:
        super().__init__(
            clock=clock, bus=bus, settle_ms=START_MS, min_members=1 if alone else 2
        )
        self._started_ms = clock.now_ms()
        self._matures_ms: dict[str, float] = {}
        self._maturing_ms = math.inf
        self._full_ms = clock.now_ms()
        self._share = 0.0
        self._rises_ms = clock.now_ms()
        self._lost_ms = -math.inf
        self._unstable_since_ms = -math.inf
        self.incarnation = 0

    @property
    def expected(self) -> int:
        """The largest number of members that was seen."""
        self._refresh()
        return self._most_members

    def learn(self, count: int) -> None:
        """
        Take over the number of members that a peer expects, after the start.

        :param count: the number
        """
        if self._clock.now_ms() - self._started_ms < LEARN_MS:
            self._most_members = max(self._most_members, count)

    def share(self) -> float:
        share = len(self._refresh()) / self._most_members
        now_ms = self._clock.now_ms()
        if share <= self._share:
            self._share = share
            self._rises_ms = now_ms + STABLE_MS
        elif now_ms >= self._rises_ms:
            self._share = share
        return self._share

    def settled(self) -> bool:
        # Of a host that has lost all peers, the share of a single host remains.
        has_peers = self.expected >= self._min_members
        return has_peers and self._clock.now_ms() >= self._settled_ms

    def unstable_ms(self) -> float:
        """
        Return for how long the members are not stable yet after a loss.

        :return: milliseconds, 0 if they are stable
        """
        self._refresh()
        stable_ms = min(
            self._lost_ms + FREEZE_MS, self._unstable_since_ms + MAX_UNSTABLE_MS
        )
        return max(0.0, stable_ms - self._clock.now_ms())

    def _candidates(self, members: Sequence[MemberView]) -> list[str]:
        hosts = super()._candidates(members)
        now_ms = self._clock.now_ms()
        mature = [host for host in hosts if self._matures_ms[host] <= now_ms]
        return mature if len(mature) >= MATURE_SHARE * len(hosts) else hosts

    def _refresh(self) -> Sequence[MemberView]:
        previous = self._members
        members = super()._refresh()
        now_ms = self._clock.now_ms()
        if members is not previous:
            self._note_change(previous, members, now_ms)
        if now_ms >= self._maturing_ms:
            self._owners.clear()
            self._schedule_maturity(now_ms)
        if len(members) >= self._most_members:
            self._full_ms = now_ms
        elif now_ms - self._full_ms > FORGET_MS:
            self._most_members = len(members)
        return members

    def _note_change(
        self,
        previous: Sequence[MemberView],
        members: Sequence[MemberView],
        now_ms: float,
    ) -> None:
        known = {item.host_id: item for item in members}
        gone = [item for item in previous if item.host_id not in known]
        left = sum(item.leaving for item in gone)
        self._most_members = max(len(members), self._most_members - left)
        if len(gone) > left:
            if now_ms - self._lost_ms > STABLE_MS:
                self._unstable_since_ms = now_ms
            self._lost_ms = now_ms
        for item in gone:
            del self._matures_ms[item.host_id]
        own = known.get(self._bus.host_id)
        self.incarnation = own.incarnation if own is not None else 0
        for host, item in known.items():
            if host not in self._matures_ms:
                # The incarnation is the time of the start. A host that is back after a
                # partition has started long ago.
                age_ms = max(0.0, self._clock.wall_ms() - item.incarnation)
                self._matures_ms[host] = now_ms + max(0.0, MATURE_MS - age_ms)
        self._schedule_maturity(now_ms)

    def _schedule_maturity(self, now_ms: float) -> None:
        self._maturing_ms = min(
            (at for at in self._matures_ms.values() if at > now_ms), default=math.inf
        )
