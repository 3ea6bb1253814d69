"""Estimate of the phase of one upstream's periodic speed changes."""

import math
from collections import deque
from dataclasses import dataclass, field

__all__ = [
    "MIN_OWN_CHANGES",
    "MIN_FIT_SHARE",
    "TIMING_TOLERANCE_MS",
    "Change",
    "PhaseEstimate",
]

MAX_CHANGES = 24
MIN_FIT_SHARE = 0.9  # share of the changes that a period must explain
TIMING_TOLERANCE_MS = 12.0  # event loop delay and transfer time of a response
MIN_DRIFT_MS = 0.5  # minimum by which phase bounds widen between two changes
MIN_OWN_CHANGES = 2  # changes of one upstream required for a phase estimate


@dataclass(slots=True, kw_only=True, frozen=True)
class Change:
    """A change of speed between ``after_ms`` and ``until_ms``."""

    after_ms: float
    until_ms: float

    @property
    def width_ms(self) -> float:
        """Uncertainty of the time of the change, in milliseconds."""
        return self.until_ms - self.after_ms

    @property
    def middle_ms(self) -> float:
        """Best estimate of the time of the change, on the monotonic clock."""
        return (self.after_ms + self.until_ms) / 2


@dataclass(slots=True, kw_only=True)
class PhaseEstimate:
    """
    Changes of one upstream, and the bounds on its phase that follow from them.

    One possible change lies between ``early_ms`` and ``late_ms`` on the monotonic
    clock; both are None while the phase is not known. ``failed_fits`` counts how often
    a phase was discarded or no phase fitted the changes.
    """

    changes: deque[Change] = field(default_factory=lambda: deque(maxlen=MAX_CHANGES))
    early_ms: float | None = None
    late_ms: float | None = None
    failed_fits: int = 0

    @property
    def known(self) -> bool:
        """Whether the phase is known."""
        return self.late_ms is not None

    def clear_bounds(self) -> None:
        """Discard the phase but keep the changes."""
        self.early_ms = self.late_ms = None

    def fit(self, period_ms: float) -> None:
        """
        Find the phase bounds that agree with most of the changes.

        :param period_ms: time between possible changes, in milliseconds
        """
        self.clear_bounds()
        if len(self.changes) < MIN_OWN_CHANGES:
            return
        base_ms = self.changes[-1].after_ms
        # Each change allows a circular interval (arc) of phases. The best phase lies at
        # the end of one of the arcs.
        arcs = [
            ((change.after_ms - base_ms) % period_ms, change.width_ms)
            for change in self.changes
        ]
        candidates = [(start + width) % period_ms for start, width in arcs]
        scores = [
            sum(allows_phase(point, arc, period_ms) for arc in arcs)
            for point in candidates
        ]
        best = max(scores)
        if best < MIN_FIT_SHARE * len(arcs):
            return
        # A change is observed late and never early, so the earliest end is the bound.
        late = min(
            (point + period_ms / 2) % period_ms - period_ms / 2
            for point, score in zip(candidates, scores)
            if score == best
        )
        starts = [
            (start - late + period_ms / 2) % period_ms - period_ms / 2
            for start, _ in arcs
        ]
        early = max(
            (start for start in starts if start <= 0.0), default=-TIMING_TOLERANCE_MS
        )
        self.late_ms = base_ms + late
        self.early_ms = self.late_ms + early - TIMING_TOLERANCE_MS

    def narrow(self, change: Change, period_ms: float, error_ms: float) -> bool:
        """
        Narrow the bounds of a known phase by one more change.

        :param change: the change
        :param period_ms: time between possible changes, in milliseconds
        :param error_ms: maximum error of ``period_ms``, in milliseconds
        :return: whether the change agrees with the bounds
        """
        assert self.early_ms is not None and self.late_ms is not None
        periods = math.floor(
            (change.until_ms + TIMING_TOLERANCE_MS - self.early_ms) / period_ms
        )
        drift_ms = MIN_DRIFT_MS + periods * error_ms
        early_ms = self.early_ms + periods * period_ms - drift_ms
        late_ms = self.late_ms + periods * period_ms + drift_ms
        if change.after_ms < late_ms - drift_ms - period_ms:
            # The change may also belong to the previous period, so the bounds stay.
            return True
        if (
            change.after_ms - TIMING_TOLERANCE_MS > late_ms
            or change.until_ms + TIMING_TOLERANCE_MS < early_ms
        ):
            return False
        self.late_ms = min(late_ms, max(change.until_ms, early_ms + MIN_DRIFT_MS))
        bound_ms = min(
            change.after_ms - TIMING_TOLERANCE_MS / 2, self.late_ms - MIN_DRIFT_MS
        )
        self.early_ms = max(early_ms, bound_ms)
        return True


def allows_phase(point: float, arc: tuple[float, float], period_ms: float) -> bool:
    """
    Return whether a change allows a phase.

    :param point: the phase, in milliseconds
    :param arc: start and width of the phases that the change allows, in milliseconds
    :param period_ms: length of the period, in milliseconds
    :return: whether the phase lies in the arc, within the timing tolerance
    """
    start, width = arc
    return (
        point - start + TIMING_TOLERANCE_MS
    ) % period_ms <= width + 2 * TIMING_TOLERANCE_MS
