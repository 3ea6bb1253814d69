"""Suspicion of members: a member dies only after time to refute."""

import math
from collections.abc import Callable

from mangohatch.peer.membership.health import LocalHealth
from mangohatch.peer.membership.settings import MembershipSettings
from mangohatch.peer.membership.table import MemberRow, MemberState, MemberTable

__all__ = ["SuspicionSystem"]

MAX_CONFIRMATIONS = 3


class SuspicionSystem:
    """Declares suspects dead when their time to refute has passed."""

    def __init__(
        self,
        *,
        cfg: MembershipSettings,
        table: MemberTable,
        health: LocalHealth,
        declare_dead: Callable[[MemberRow], None],
    ) -> None:
        self._cfg = cfg
        self._table = table
        self._health = health
        self._declare_dead = declare_dead

    def tick(self, now_ms: float) -> None:
        """
        Declare dead the suspects whose time has passed.

        :param now_ms: monotonic time
        """
        for row in list(self._table.rows.values()):
            if row.state is not MemberState.SUSPECT:
                continue
            if now_ms - row.since_ms >= self.timeout_ms(row):
                self._declare_dead(row)

    def timeout_ms(self, row: MemberRow) -> float:
        """
        Compute the time that a suspect has to refute.

        It shrinks with each independent accuser and grows where this host itself
        is slow.

        :param row: the suspect
        :return: milliseconds since the suspicion began
        """
        others = sum(1 for other in self._table.live() if other is not row)
        needed = max(min(MAX_CONFIRMATIONS, others), 1)
        confirmed = min(max(len(row.accusers) - 1, 0), needed)
        share = math.log(confirmed + 1) / math.log(needed + 1)
        spread_ms = self._cfg.suspicion_max_ms - self._cfg.suspicion_min_ms
        timeout_ms = self._cfg.suspicion_max_ms - spread_ms * share
        return timeout_ms * self._health.multiplier

    def postpone(self, delta_ms: float) -> None:
        """
        Extend all suspicions after a pause of this process.

        :param delta_ms: length of the pause
        """
        for row in self._table.rows.values():
            if row.state is MemberState.SUSPECT:
                row.since_ms += delta_ms
