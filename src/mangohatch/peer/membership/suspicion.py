"""Suspicion timeouts: a suspect has time to refute before it is declared dead."""

import math
from collections.abc import Callable

from mangohatch.peer.membership.health import LocalHealth
from mangohatch.peer.membership.settings import MembershipSettings
from mangohatch.peer.membership.table import MemberRow, MemberTable

__all__ = ["SuspicionSystem"]

MAX_CONFIRMATIONS = 3


class SuspicionSystem:
    """Declares suspects dead when their suspicion timeout has expired."""

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
        Declare suspects dead whose suspicion timeout has expired.

        :param now_ms: monotonic time
        """
        for host_id in list(self._table.suspects):
            row = self._table.rows[host_id]
            if now_ms - row.since_ms >= self.timeout_ms(row):
                self._declare_dead(row)

    def timeout_ms(self, row: MemberRow) -> float:
        """
        Compute the suspicion timeout of a member.

        It falls from the maximum to the minimum with the number of independent
        accusers, and is multiplied by the local health multiplier.

        :param row: the suspect
        :return: milliseconds from the start of the suspicion
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
        Extend all suspicion timeouts after a pause of this process.

        :param delta_ms: length of the pause in milliseconds
        """
        for host_id in self._table.suspects:
            self._table.rows[host_id].since_ms += delta_ms
