"""Leases of this host on the slots of one shard."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.core.call import Report, Result
from mangohatch.core.timers import Timers
from mangohatch.peer.messages.slots import SlotGrant, SlotReturn, SlotUse

__all__ = ["HeldLease", "Holder"]

RENEW_MS = 300.0
FLUSH_USES = 16
TIMER_SLACK_MS = 0.25


@dataclass(slots=True, kw_only=True, eq=False)
class HeldLease:
    """A lease; ``idle_ms`` is when it became idle, None while it is in use."""

    token: int
    upstream: str
    isolated: bool = False
    recalled: bool = False
    idle_ms: float | None = None

    @property
    def single_use(self) -> bool:
        """Whether the lease ends together with the attempt that uses it."""
        return self.recalled or self.isolated


class Holder:
    """
    Holds used and idle leases, unsent reports and the number of requested slots.

    An idle lease is returned to the broker after the linger time that the broker
    sent last, or after ``min_linger_ms`` if that is longer.
    """

    def __init__(
        self,
        *,
        shard: str,
        clock: Clock,
        timers: Timers,
        send: Callable[[str, SlotReturn], None],
    ) -> None:
        self.shard = shard
        self._clock = clock
        self._timers = timers
        self._send = send
        self.leases: dict[int, HeldLease] = {}
        self.idle: dict[int, HeldLease] = {}
        self._broker_linger_ms = 0.0
        self.min_linger_ms = 0.0
        self.requested = 0
        self.requested_ms = 0.0
        self.last_grant_ms = -math.inf
        self._uses: list[SlotUse] = []
        self._renewed_ms = clock.now_ms()
        self._timer_ms: float | None = None

    @property
    def linger_ms(self) -> float:
        """Time in milliseconds for which a lease may stay idle on this host."""
        return max(self._broker_linger_ms, self.min_linger_ms)

    def handle_grant(self, grant: SlotGrant) -> None:
        """
        Process the leases, the linger time and the recalls in a grant.

        :param grant: the broker's message
        """
        now_ms = self._clock.now_ms()
        self.last_grant_ms = now_ms
        self._broker_linger_ms = grant.linger_ms
        if not grant.isolated:
            self.requested = max(0, self.requested - len(grant.tokens))
            if grant.sequence:
                self.requested = grant.waiting
        for token, upstream in zip(grant.tokens, grant.upstreams, strict=True):
            held = HeldLease(
                token=token,
                upstream=upstream,
                isolated=grant.isolated,
                idle_ms=now_ms,
            )
            self.leases[token] = held
            self.idle[token] = held
        if grant.recall or grant.recalled:
            self._recall(grant)

    def _recall(self, grant: SlotGrant) -> None:
        for token in grant.recalled:
            held = self.leases.get(token)
            if held is not None:
                held.recalled = True
        idle = list(self.idle.values())[: grant.recall]
        idle += [held for held in self.idle.values() if held.recalled]
        if idle:
            self._return_leases(idle)

    def pending(self, wait_ms: float) -> int:
        """
        Count the requested slots that the broker has not granted yet.

        :param wait_ms: time in milliseconds for which the broker keeps a demand
        :return: number of slots
        """
        if self._clock.now_ms() - self.requested_ms >= wait_ms:
            self.requested = 0
        return self.requested

    def use(self, held: HeldLease) -> None:
        """
        Start using an idle lease.

        :param held: the lease
        """
        held.idle_ms = None
        del self.idle[held.token]

    def end_use(self, token: int, report: Report) -> None:
        """
        End the use of a lease; it becomes idle unless it has to be returned.

        :param token: token of the lease
        :param report: result of the attempt
        """
        held = self.leases.get(token)
        if held is None:
            return
        use = SlotUse(
            upstream=held.upstream,
            token=token,
            result=str(report.result),
            latency_ms=report.latency_ms,
            draining=report.statement.leaving,
        )
        self._uses.append(use)
        now_ms = self._clock.now_ms()
        if (
            report.result is not Result.OK
            or report.statement.leaving
            or held.single_use
        ):
            del self.leases[token]
            use.freed = True
            self.flush()
            return
        held.idle_ms = now_ms
        self.idle[token] = held
        if len(self._uses) >= FLUSH_USES:
            self.flush()

    def return_idle(self) -> None:
        """Return leases idle for the linger time, and schedule the next return."""
        now_ms = self._clock.now_ms()
        due_ms = now_ms - self.linger_ms + TIMER_SLACK_MS
        freed = [
            held
            for held in self.idle.values()
            if held.single_use or (held.idle_ms or 0) <= due_ms
        ]
        if freed:
            self._return_leases(freed)
        if self.idle:
            self._schedule_return(now_ms)

    def _schedule_return(self, now_ms: float) -> None:
        oldest_ms = min(held.idle_ms or 0 for held in self.idle.values())
        due_ms = max(now_ms, oldest_ms + self.linger_ms)
        if self._timer_ms is None or due_ms < self._timer_ms - TIMER_SLACK_MS:
            self._timer_ms = due_ms
            self._timers.call_later(due_ms - now_ms, self._on_timer)

    def _on_timer(self) -> None:
        self._timer_ms = None
        self.return_idle()

    def _return_leases(self, freed: list[HeldLease]) -> None:
        for held in freed:
            if self.idle.pop(held.token, None) is None:
                continue
            del self.leases[held.token]
            self._uses.append(
                SlotUse(upstream=held.upstream, token=held.token, freed=True)
            )
        self.flush()

    def flush(self) -> None:
        """Send the queued reports and ends of leases to the broker."""
        if self._uses:
            message = SlotReturn(shard=self.shard, uses=merge_uses(self._uses))
            self._uses = []
            self._send(self.shard, message)

    def renew(self, *, force: bool = False) -> None:
        """
        Renew all leases in one message if the renewal interval has passed.

        :param force: whether to renew before the interval has passed
        """
        now_ms = self._clock.now_ms()
        if not force and now_ms - self._renewed_ms < RENEW_MS:
            return
        self._renewed_ms = now_ms
        if not self.leases and not self._uses:
            return
        message = SlotReturn(
            shard=self.shard,
            uses=merge_uses(self._uses),
            held=[held.upstream for held in self.leases.values()],
            held_tokens=list(self.leases),
        )
        self._uses = []
        self._send(self.shard, message)


def merge_uses(uses: list[SlotUse]) -> list[SlotUse]:
    """
    Merge the end of each lease into the report of its last use.

    :param uses: uses in chronological order
    :return: the merged uses in the same order
    """
    merged: list[SlotUse] = []
    last: dict[int, SlotUse] = {}
    for use in uses:
        known = last.get(use.token)
        if use.freed and not use.result and known is not None and not known.freed:
            known.freed = True
            continue
        merged.append(use)
        last[use.token] = use
    return merged
