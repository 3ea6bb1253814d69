"""Detection and prediction of periodic speed changes of upstreams."""

import math
import operator
from collections.abc import Hashable

from mangohatch.core.phase import (
    MIN_FIT_SHARE,
    MIN_OWN_CHANGES,
    TIMING_TOLERANCE_MS,
    Change,
    PhaseEstimate,
)

__all__ = ["ChangePeriodTable"]

MIN_PERIOD_MS = 100.0  # a shorter period ends before a report reaches the other hosts
MAX_PERIOD_MS = 1_500.0  # regular load probes suffice for a longer period
PERIOD_STEP_MS = 2.0  # between tested periods
MAX_PAIRS = 60  # pairs of changes tested with a period, to limit the search cost
MIN_PAIRS = 20  # pairs of changes, over all upstreams, required for a search
STANDARD_ERRORS = 2.0  # standard errors taken as the maximum error of the period
# Uncertainty of a change time below which a further probe gains little: a tenth of
# the shortest period seen.
MIN_UNCERTAINTY_MS = 30.0
# Share of the pairs that a period may explain by chance. Above it, a real period can't
# be distinguished from a coincidence.
MAX_CHANCE_SHARE = 0.5
# If no phase fits this many changes of an upstream, all but the latest are discarded.
MIN_UNFITTED_CHANGES = 6
MAX_FAILED_FITS = 2  # an upstream that reaches it is evidence against the period
# A period is discarded if a larger share of the upstreams is evidence against it.
MAX_LOST_SHARE = 0.5


class ChangePeriodTable:
    """
    Estimates the period and the phases of the speed changes of upstreams.

    Designed for load that shifts at regular intervals, such as neighbours on the same
    machine whose shares are reassigned on a schedule. All upstreams share one period
    and each has its own phase, so the upstreams of a small service benefit from the
    changes observed on all others. No period is found for irregular changes; placement
    then relies on the age of reports alone.
    """

    def __init__(self) -> None:
        self.period_ms: float | None = None
        self._phases: dict[Hashable, PhaseEstimate] = {}
        self._pairs_tried = 0
        self._error_ms = PERIOD_STEP_MS

    @property
    def known(self) -> bool:
        """Whether a period is known."""
        return self.period_ms is not None

    def observe(self, upstream: Hashable, *, after_ms: float, until_ms: float) -> None:
        """
        Record a change of speed.

        :param upstream: key of the upstream
        :param after_ms: monotonic time of the last report of the old speed
        :param until_ms: monotonic time of the first report of the new speed
        """
        phase = self._phases.setdefault(upstream, PhaseEstimate())
        change = Change(after_ms=after_ms, until_ms=until_ms)
        if self.period_ms is not None and phase.known:
            if not phase.narrow(change, self.period_ms, self._error_ms):
                self._discard_phase(phase)
        limit_ms = MIN_PERIOD_MS if self.period_ms is None else self.period_ms / 2
        if change.width_ms >= limit_ms:
            # The time of the change is so uncertain that almost any phase fits it.
            return
        phase.changes.append(change)
        if self.period_ms is None:
            self._search()
        elif not phase.known:
            phase.fit(self.period_ms)
            self._check_fit(phase)
        else:
            self._refine()

    def retain(self, upstreams: set[Hashable]) -> None:
        """
        Discard the phases of removed upstreams.

        :param upstreams: keys of the upstreams to keep
        """
        for key in self._phases.keys() - upstreams:
            del self._phases[key]

    def next_change_ms(self, upstream: Hashable, now_ms: float) -> float | None:
        """
        Estimate when the speed of an upstream may change next.

        :param upstream: key of the upstream
        :param now_ms: monotonic time, in milliseconds
        :return: latest monotonic time of the next possible change, None while it is not
            known
        """
        bounds = self._next_bounds(upstream, now_ms)
        return None if bounds is None else bounds[1]

    def next_informative_probe_ms(
        self, upstream: Hashable, now_ms: float
    ) -> float | None:
        """
        Return when a load probe would best narrow the phase of an upstream.

        :param upstream: key of the upstream
        :param now_ms: monotonic time, in milliseconds
        :return: monotonic time of the probe, None while no phase is known, when the
            phase is known accurately, or when that time has passed
        """
        bounds = self._next_bounds(upstream, now_ms)
        if bounds is None or bounds[1] - bounds[0] <= MIN_UNCERTAINTY_MS:
            return None
        middle_ms = (bounds[0] + bounds[1]) / 2
        return middle_ms if middle_ms > now_ms else None

    def _next_bounds(
        self, upstream: Hashable, now_ms: float
    ) -> tuple[float, float] | None:
        phase = self._phases.get(upstream)
        if phase is None or self.period_ms is None:
            return None
        if phase.early_ms is None or phase.late_ms is None:
            return None
        periods = math.floor((now_ms - phase.late_ms) / self.period_ms) + 1
        shift_ms = periods * self.period_ms
        return phase.early_ms + shift_ms, phase.late_ms + shift_ms

    def _search(self) -> None:
        pairs = self._pairs()
        if len(pairs) < MIN_PAIRS or len(pairs) < self._pairs_tried + MIN_PAIRS / 2:
            return
        self._pairs_tried = len(pairs)
        pairs = sorted(pairs, key=pair_width)[:MAX_PAIRS]
        # Long periods explain fewer pairs by chance, so they are tested first.
        found = []
        period_ms = MAX_PERIOD_MS
        while period_ms >= MIN_PERIOD_MS:
            if explains(period_ms, pairs):
                found.append(period_ms)
            elif found:
                break
            period_ms -= PERIOD_STEP_MS
        if found:
            self.period_ms = sum(found) / len(found)
            self._fit_all()
            self._refine()

    def _pairs(self) -> list[tuple[Change, Change]]:
        pairs = []
        for phase in self._phases.values():
            changes = list(phase.changes)
            pairs += [(changes[0], change) for change in changes[1:]]
        return pairs

    def _refine(self) -> None:
        """Correct the period by a weighted linear regression over the changes."""
        assert self.period_ms is not None
        drift = spread = 0.0
        for phase in self._phases.values():
            if not phase.known or len(phase.changes) < MIN_OWN_CHANGES:
                continue
            first_ms = phase.changes[0].middle_ms
            counts, residuals, weights = [], [], []
            for change in phase.changes:
                count = round((change.middle_ms - first_ms) / self.period_ms)
                counts.append(count)
                residuals.append(change.middle_ms - first_ms - count * self.period_ms)
                weights.append((change.width_ms + TIMING_TOLERANCE_MS) ** -2)
            total = sum(weights)
            mean = sum(map(operator.mul, weights, counts)) / total
            for count, residual, weight in zip(counts, residuals, weights):
                drift += weight * (count - mean) * residual
                spread += weight * (count - mean) ** 2
        if spread:
            self.period_ms += drift / spread
            self._error_ms = min(PERIOD_STEP_MS, STANDARD_ERRORS / math.sqrt(spread))

    def _fit_all(self) -> None:
        assert self.period_ms is not None
        for phase in self._phases.values():
            phase.fit(self.period_ms)

    def _check_fit(self, phase: PhaseEstimate) -> None:
        if not phase.known and len(phase.changes) >= MIN_UNFITTED_CHANGES:
            self._discard_phase(phase)

    def _discard_phase(self, phase: PhaseEstimate) -> None:
        # The upstream may have restarted, which gives it another phase.
        phase.clear_bounds()
        while len(phase.changes) >= MIN_OWN_CHANGES:
            phase.changes.popleft()
        phase.failed_fits += 1
        lost = sum(
            other.failed_fits >= MAX_FAILED_FITS for other in self._phases.values()
        )
        if lost > MAX_LOST_SHARE * len(self._phases):
            self._reset()

    def _reset(self) -> None:
        self.period_ms = None
        self._pairs_tried = 0
        for phase in self._phases.values():
            phase.changes.clear()
            phase.clear_bounds()
            phase.failed_fits = 0


def pair_width(pair: tuple[Change, Change]) -> float:
    """
    Return the uncertainty of the time between two changes.

    :param pair: two changes of one upstream
    :return: uncertainty in milliseconds
    """
    return pair[0].width_ms + pair[1].width_ms + 2 * TIMING_TOLERANCE_MS


def explains(period_ms: float, pairs: list[tuple[Change, Change]]) -> bool:
    """
    Return whether the times between changes are multiples of a period.

    :param period_ms: the period, in milliseconds
    :param pairs: pairs of changes, each pair of one upstream
    :return: whether at least ``MIN_FIT_SHARE`` of the pairs are multiples, and at most
        ``MAX_CHANCE_SHARE`` are expected to be multiples by chance
    """
    explained = 0
    expected = 0.0
    for pair in pairs:
        width = pair_width(pair)
        gap = pair[1].after_ms - pair[0].until_ms - TIMING_TOLERANCE_MS
        explained += (-gap) % period_ms <= width
        expected += min(1.0, width / period_ms)
    enough = explained >= MIN_FIT_SHARE * len(pairs)
    return enough and expected <= MAX_CHANCE_SHARE * len(pairs)
