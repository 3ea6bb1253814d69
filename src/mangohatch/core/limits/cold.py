"""The system that keeps which upstreams are cold, and what their owners give out."""

import math
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from mangohatch.clock import Clock
from mangohatch.core.choice.base import ignore_service
from mangohatch.core.limits.ownership import LimitOwnership
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import Tables, UpstreamRow

__all__ = ["ColdBounds", "ColdStates"]

# The owner's probes tell the state within 300 ms; an owner of an older version does not
# tell it.
UNKNOWN_MS = 2_000.0
MAX_COLD_MS = 10_000.0  # unless the service warms up for longer
SAME_END_MS = 250.0  # ends of one cold state differ by transfer times
PAUSE_MS = 500.0  # ticks are 50 ms apart; this host may have missed reports
# Reports that were received during a pause are handled in the iterations after it.
STALE_REPORTS_MS = 100.0
# From the first to the last host that notices a change of members.
TAKEOVER_MS = 1_000.0
HOLD_S = 0.1  # for which a permit may be held
BURST_S = 0.05  # two owners then stay within 17.45 at 6.3 requests a second
MIN_PER_S = 0.05

log = structlog.get_logger()


@dataclass(slots=True, kw_only=True, frozen=True)
class ColdBounds:
    """
    What all hosts together may send to a cold upstream in any second.

    It is ``over`` times its warm-up rate, plus ``slack`` requests.
    """

    over: float
    slack: float = 0.0


class ColdStates:
    """
    Keeps the cold states of upstreams, and the rate of their permits at the owner.

    A state comes from the upstream's entry, from its responses to health checks, and
    from the load reports of peers; the latest statement holds. An upstream of an
    unknown state is treated as cold until a statement arrives, at most
    ``UNKNOWN_MS``. After a pause of this process all states are unknown. A cold state
    lasts for a limited time, and only a statement that names a later end renews it.

    An owner gives out nothing within ``TAKEOVER_MS`` of the change of members that made
    it the owner, so that a previous owner has learned of the change, and then the share
    of its part of a partitioned fleet. An upstream that has just registered has no
    previous owner.

    ``on_change`` is called with the name of a service when an upstream becomes cold or
    warm. ``colds`` and ``warms`` count these changes.

    :param clock: source of time
    :param tables: services and upstreams
    :param subset: the owner of each upstream
    :param ownership: the share of the members that this host sees
    :param bounds: what may be sent; None disables the feature
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tables: Tables,
        subset: SubsetTable,
        ownership: LimitOwnership,
        bounds: ColdBounds | None,
    ) -> None:
        self.on_change: Callable[[str], None] = ignore_service
        self.bounds = bounds
        self.colds = 0
        self.warms = 0
        self._clock = clock
        self._tables = tables
        self._subset = subset
        self._ownership = ownership
        self._owned_since_ms: dict[tuple[str, str], float] = {}
        self._resumed_ms = clock.now_ms()
        self._ticked_ms = math.inf
        self._ignore_until_ms = -math.inf

    def observe(self, row: UpstreamRow, cold_ms: float, *, seen_ms: float) -> None:
        """
        Record a statement of an upstream, unless a newer one is known.

        :param row: the upstream
        :param cold_ms: time for which it remains cold, 0 if it is warm
        :param seen_ms: monotonic time of the statement in milliseconds
        """
        state = row.cold
        self.detect_pause()
        now_ms = self._clock.now_ms()
        if state.warm_up is None or seen_ms <= state.seen_ms:
            return
        if now_ms < self._ignore_until_ms:
            return
        state.seen_ms = seen_ms
        end_ms = seen_ms + cold_ms
        if cold_ms <= 0.0:
            state.stated_until_ms = -math.inf
            self._set_warm(row, "statement")
            return
        if end_ms > state.stated_until_ms + SAME_END_MS:
            state.stated_until_ms = end_ms
            longest_ms = max(MAX_COLD_MS, state.warm_up.duration_ms)
            state.until_ms = min(end_ms, seen_ms + longest_ms)
        else:
            state.stated_until_ms = min(state.stated_until_ms, end_ms)
            state.until_ms = min(state.until_ms, end_ms)
        if state.until_ms > now_ms:
            self._set_cold(row)
        else:
            self._set_warm(row, "end")

    def remaining_ms(self, row: UpstreamRow) -> int | None:
        """
        Return what a load report says of the cold state of an upstream.

        :param row: the upstream
        :return: milliseconds for which it remains cold, 0 if it is warm; None if this
            host has no statement
        """
        state = row.cold
        if state.warm_up is None or not state.known or state.seen_ms == -math.inf:
            return None
        if not state.cold:
            return 0
        return max(0, math.ceil(state.until_ms - self._clock.now_ms()))

    def per_s(self, row: UpstreamRow) -> float:
        """
        Return the rate at which this host gives out permits for a cold upstream.

        :param row: a cold upstream that this host owns
        :return: permits a second, 0 shortly after this host became the owner
        """
        since_ms = self._owned_since_ms.get((row.service, row.name), math.inf)
        if self.bounds is None or self._clock.now_ms() - since_ms < TAKEOVER_MS:
            return 0.0
        per_s = row.cold.limit_per_s
        allowed = per_s * self.bounds.over + self.bounds.slack
        issued = min(per_s, (allowed - 1.0) / (1.0 + HOLD_S + BURST_S))
        return max(MIN_PER_S, issued * self._ownership.share())

    def detect_pause(self) -> None:
        """Treat all upstreams as unknown if this process was paused."""
        now_ms = self._clock.now_ms()
        if now_ms - self._ticked_ms <= PAUSE_MS:
            return
        paused_ms = now_ms - self._ticked_ms
        self._ticked_ms = now_ms
        self._ignore_until_ms = now_ms + STALE_REPORTS_MS
        self._resumed_ms = now_ms
        self._owned_since_ms.clear()
        log.info("cold_states_unknown", paused_ms=round(paused_ms))
        for row in self._tables.upstreams():
            if row.cold.warm_up is not None:
                row.cold.forget()
                row.cold.until_ms = now_ms + UNKNOWN_MS
                row.cold.seen_ms = now_ms

    def tick(self) -> None:
        """Apply entries, end cold states, and note since when upstreams are owned."""
        if self.bounds is None:
            return
        self.detect_pause()
        now_ms = self._ticked_ms = self._clock.now_ms()
        self._ownership.share()
        since_ms = max(self._resumed_ms, self._ownership.changed_ms)
        owned = {}
        for row in self._tables.upstreams():
            if row.cold.warm_up is None:
                continue
            self._update(row, now_ms)
            if self._subset.owner(row.service, row.name) == self._subset.host_id:
                key = (row.service, row.name)
                owned[key] = self._owned_since_ms.get(key, since_ms)
        self._owned_since_ms = owned

    def _update(self, row: UpstreamRow, now_ms: float) -> None:
        state = row.cold
        if state.until_ms == math.inf:
            state.until_ms = now_ms + UNKNOWN_MS
        if row.warm_at_ms != state.entry_until_ms and now_ms >= self._ignore_until_ms:
            state.entry_until_ms = row.warm_at_ms
            if row.warm_at_ms > now_ms:
                self.observe(row, row.warm_at_ms - now_ms, seen_ms=now_ms)
        if state.cold and now_ms >= state.until_ms:
            if not state.known:
                state.seen_ms = -math.inf  # nothing to tell peers
            self._set_warm(row, "end" if state.known else "no statement")

    def _set_cold(self, row: UpstreamRow) -> None:
        state = row.cold
        if state.cold and state.known:
            return
        state.cold = state.known = True
        self.colds += 1
        log.info(
            "upstream_cold",
            service=row.service,
            upstream=row.name,
            rest_ms=round(state.until_ms - self._clock.now_ms()),
            limit_per_s=state.limit_per_s,
        )
        self.on_change(row.service)

    def _set_warm(self, row: UpstreamRow, cause: str) -> None:
        state = row.cold
        was_cold, was_known = state.cold, state.known
        state.cold, state.known = False, True
        if not was_cold:
            return
        if was_known:
            self.warms += 1
            log.info(
                "upstream_warm", service=row.service, upstream=row.name, cause=cause
            )
        self.on_change(row.service)
