"""The phase in which the speed of one upstream changes."""

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
MIN_FIT_SHARE = 0.9  # share of the changes that a period has to explain
TIMING_TOLERANCE_MS = 12.0  # turns of the event loop and way of the answer
MIN_DRIFT_MS = 0.5  # least growth of the bounds of a phase between two changes
MIN_OWN_CHANGES = 2  # changes of one upstream, before its phase is believed


@dataclass(slots=True, kw_only=True, frozen=True)
class Change:
    """A change of speed that happened after one time and not after another."""

    after_ms: float
    until_ms: float

    @property
    def width_ms(self) -> float:
        """How uncertain the time of the change is."""
        return self.until_ms - self.after_ms

    @property
    def middle_ms(self) -> float:
        """The best single estimate of its time."""
        return (self.after_ms + self.until_ms) / 2


@dataclass(slots=True, kw_only=True)
class PhaseEstimate:
    """
    Changes of one upstream, and the bounds that they leave for its phase.

    One possible change lies between ``early_ms`` and ``late_ms`` on the monotonic
    clock; both are None while the phase is not known. ``failed_fits`` counts how often
    no phase fitted.
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
        """Forget the phase, not the changes."""
        self.early_ms = self.late_ms = None

    def fit(self, period_ms: float) -> None:
        """
        Find the bounds that most changes allow.

        :param period_ms: time between possible changes
        """
        self.clear_bounds()
        if len(self.changes) < MIN_OWN_CHANGES:
            return
        base_ms = self.changes[-1].after_ms
        # Each change allows an arc of phases; the best lies at the end of some arc.
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
        # A change is seen late and never early, so the earliest end is the bound.
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
        Take a change into account while the phase is known.

        :param change: the change
        :param period_ms: time between possible changes
        :param error_ms: how far that may be wrong
        :return: False when the change contradicts the bounds
        """
        assert self.early_ms is not None and self.late_ms is not None
        periods = math.floor(
            (change.until_ms + TIMING_TOLERANCE_MS - self.early_ms) / period_ms
        )
        drift_ms = MIN_DRIFT_MS + periods * error_ms
        early_ms = self.early_ms + periods * period_ms - drift_ms
        late_ms = self.late_ms + periods * period_ms + drift_ms
        if change.after_ms < late_ms - drift_ms - period_ms:
            # It could also be the change before.
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
    Tell whether a change allows a phase.

    :param point: the phase
    :param arc: start and width of the phases that the change allows
    :param period_ms: length of the circle
    :return: whether it does
    """
    start, width = arc
    return (
        point - start + TIMING_TOLERANCE_MS
    ) % period_ms <= width + 2 * TIMING_TOLERANCE_MS
