"""When the speed of an upstream changes, learnt from its reports."""

import math
import operator
from collections import deque
from dataclasses import dataclass, field

__all__ = ["Rhythm", "RhythmTable"]

SHORTEST_MS = 100.0  # a shorter rhythm is over before its knowledge reaches anybody
LONGEST_MS = 1_500.0  # a longer one is followed well enough by regular questions
STEP_MS = 2.0  # of the periods that are tried
MAX_PAIRS = 60  # that are tried with each period, to bound the search
MAX_CHANGES = 24
FEWEST_CHANGES = 20  # of a whole service, before a period is believed
FIT = 0.9  # share of the changes that a period has to explain
SLACK_MS = 12.0  # turns of the event loop and way of the answer
DRIFT_MS = 0.5  # least growth of the bounds of a phase between two changes
ERRORS = 2.0  # standard errors that the period may be wrong by
FINE_MS = 10.0  # a turn of the event loop; no question shows more
CHANCE = 0.5  # share that a period may explain by chance and still be told from luck
FEWEST_MISSED = 6  # changes of one upstream without a phase, before they are doubted
MAX_MISSES = 2  # after which an upstream speaks against the period
LOST_SHARE = 0.5  # of the upstreams that may do so before a period is given up
FEWEST_OWN = 2  # changes of one upstream, before its phase is believed


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
class Rhythm:
    """
    Changes of one upstream, and the bounds that they leave for its phase.

    One possible change lies between ``early_ms`` and ``late_ms`` on the monotonic
    clock; both are None while the phase is not known. ``misses`` counts how often no
    phase fitted.
    """

    changes: deque[Change] = field(default_factory=lambda: deque(maxlen=MAX_CHANGES))
    early_ms: float | None = None
    late_ms: float | None = None
    misses: int = 0

    @property
    def known(self) -> bool:
        """Whether the phase is known."""
        return self.late_ms is not None

    def forget_phase(self) -> None:
        """Forget the phase, not the changes."""
        self.early_ms = self.late_ms = None

    def fit(self, period_ms: float) -> None:
        """
        Find the bounds that most changes allow.

        :param period_ms: time between possible changes
        """
        self.forget_phase()
        if len(self.changes) < FEWEST_OWN:
            return
        base_ms = self.changes[-1].after_ms
        # Each change allows an arc of phases; the best lies at the end of some arc.
        arcs = [
            ((change.after_ms - base_ms) % period_ms, change.width_ms)
            for change in self.changes
        ]
        candidates = [(start + width) % period_ms for start, width in arcs]
        scores = [
            sum(in_arc(point, arc, period_ms) for arc in arcs) for point in candidates
        ]
        best = max(scores)
        if best < FIT * len(arcs):
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
        early = max((start for start in starts if start <= 0.0), default=-SLACK_MS)
        self.late_ms = base_ms + late
        self.early_ms = self.late_ms + early - SLACK_MS

    def narrow(self, change: Change, period_ms: float, error_ms: float) -> bool:
        """
        Take a change into account while the phase is known.

        :param change: the change
        :param period_ms: time between possible changes
        :param error_ms: how far that may be wrong
        :return: False when the change contradicts the bounds
        """
        assert self.early_ms is not None and self.late_ms is not None
        turns = math.floor((change.until_ms + SLACK_MS - self.early_ms) / period_ms)
        drift_ms = DRIFT_MS + turns * error_ms
        early_ms = self.early_ms + turns * period_ms - drift_ms
        late_ms = self.late_ms + turns * period_ms + drift_ms
        if change.after_ms < late_ms - drift_ms - period_ms:
            # It could also be the change before.
            return True
        if (
            change.after_ms - SLACK_MS > late_ms
            or change.until_ms + SLACK_MS < early_ms
        ):
            return False
        self.late_ms = min(late_ms, max(change.until_ms, early_ms + DRIFT_MS))
        bound_ms = min(change.after_ms - SLACK_MS / 2, self.late_ms - DRIFT_MS)
        self.early_ms = max(early_ms, bound_ms)
        return True


def in_arc(point: float, arc: tuple[float, float], period_ms: float) -> bool:
    """
    Tell whether a change allows a phase.

    :param point: the phase
    :param arc: start and width of the phases that the change allows
    :param period_ms: length of the circle
    :return: whether it does
    """
    start, width = arc
    return (point - start + SLACK_MS) % period_ms <= width + 2 * SLACK_MS


class RhythmTable:
    """
    Learns the rhythm in which the speeds of a service's upstreams change.

    Answers a load that shifts at regular instants, as of neighbours whose shares are
    dealt anew on a schedule. All upstreams of a service share the period, each has a
    phase of its own. What is not regular finds no period, and placement then goes by
    the age of reports alone.
    """

    def __init__(self) -> None:
        self.period_ms: float | None = None
        self._rhythms: dict[str, Rhythm] = {}
        self._tried = 0
        self._error_ms = STEP_MS

    @property
    def known(self) -> bool:
        """Whether a period was found."""
        return self.period_ms is not None

    def observe(self, upstream: str, *, after_ms: float, until_ms: float) -> None:
        """
        Take note of a change of speed.

        :param upstream: name of the upstream
        :param after_ms: last time at which the old speed was reported
        :param until_ms: first time at which the new speed was reported
        """
        rhythm = self._rhythms.setdefault(upstream, Rhythm())
        change = Change(after_ms=after_ms, until_ms=until_ms)
        if self.period_ms is not None and rhythm.known:
            if not rhythm.narrow(change, self.period_ms, self._error_ms):
                self._lose(rhythm)
        limit_ms = SHORTEST_MS if self.period_ms is None else self.period_ms / 2
        if change.width_ms >= limit_ms:
            # It could have happened at nearly any phase.
            return
        rhythm.changes.append(change)
        if self.period_ms is None:
            self._search()
        elif not rhythm.known:
            rhythm.fit(self.period_ms)
            self._doubt(rhythm)
        else:
            self._refine()

    def keep_only(self, names: set[str]) -> None:
        """
        Forget upstreams that are gone.

        :param names: names of those that remain
        """
        for name in set(self._rhythms) - names:
            del self._rhythms[name]

    def next_change_ms(self, upstream: str, now_ms: float) -> float | None:
        """
        Tell when the speed of an upstream may change next.

        :param upstream: name of the upstream
        :param now_ms: monotonic time
        :return: the first such time after now, None while it is not known
        """
        bounds = self._next_bounds(upstream, now_ms)
        return None if bounds is None else bounds[1]

    def next_doubt_ms(self, upstream: str, now_ms: float) -> float | None:
        """
        Tell when a question would show most about the phase of an upstream.

        :param upstream: name of the upstream
        :param now_ms: monotonic time
        :return: a time after now, None while no phase is known or it is known well
        """
        bounds = self._next_bounds(upstream, now_ms)
        if bounds is None or bounds[1] - bounds[0] <= FINE_MS:
            return None
        middle_ms = (bounds[0] + bounds[1]) / 2
        return middle_ms if middle_ms > now_ms else None

    def _next_bounds(self, upstream: str, now_ms: float) -> tuple[float, float] | None:
        rhythm = self._rhythms.get(upstream)
        if rhythm is None or self.period_ms is None:
            return None
        if rhythm.early_ms is None or rhythm.late_ms is None:
            return None
        turns = math.floor((now_ms - rhythm.late_ms) / self.period_ms) + 1
        shift_ms = turns * self.period_ms
        return rhythm.early_ms + shift_ms, rhythm.late_ms + shift_ms

    def _search(self) -> None:
        pairs = self._pairs()
        if len(pairs) < FEWEST_CHANGES or len(pairs) < self._tried + FEWEST_CHANGES / 2:
            return
        self._tried = len(pairs)
        pairs = sorted(pairs, key=pair_width)[:MAX_PAIRS]
        # A long period explains less by chance, so it is tried first.
        found = []
        period_ms = LONGEST_MS
        while period_ms >= SHORTEST_MS:
            if explains(period_ms, pairs):
                found.append(period_ms)
            elif found:
                break
            period_ms -= STEP_MS
        if found:
            self.period_ms = sum(found) / len(found)
            self._fit_all()
            self._refine()

    def _pairs(self) -> list[tuple[Change, Change]]:
        pairs = []
        for rhythm in self._rhythms.values():
            changes = list(rhythm.changes)
            pairs += [(changes[0], change) for change in changes[1:]]
        return pairs

    def _refine(self) -> None:
        """Correct the period by the drift of the changes against their phases."""
        assert self.period_ms is not None
        drift = spread = 0.0
        for rhythm in self._rhythms.values():
            if not rhythm.known or len(rhythm.changes) < FEWEST_OWN:
                continue
            first_ms = rhythm.changes[0].middle_ms
            counts, rests, weights = [], [], []
            for change in rhythm.changes:
                count = round((change.middle_ms - first_ms) / self.period_ms)
                counts.append(count)
                rests.append(change.middle_ms - first_ms - count * self.period_ms)
                weights.append((change.width_ms + SLACK_MS) ** -2)
            total = sum(weights)
            mean = sum(map(operator.mul, weights, counts)) / total
            for count, rest, weight in zip(counts, rests, weights):
                drift += weight * (count - mean) * rest
                spread += weight * (count - mean) ** 2
        if spread:
            self.period_ms += drift / spread
            self._error_ms = min(STEP_MS, ERRORS / math.sqrt(spread))

    def _fit_all(self) -> None:
        assert self.period_ms is not None
        for rhythm in self._rhythms.values():
            rhythm.fit(self.period_ms)

    def _doubt(self, rhythm: Rhythm) -> None:
        if not rhythm.known and len(rhythm.changes) >= FEWEST_MISSED:
            self._lose(rhythm)

    def _lose(self, rhythm: Rhythm) -> None:
        # The upstream may have started anew, with another phase.
        rhythm.forget_phase()
        while len(rhythm.changes) >= FEWEST_OWN:
            rhythm.changes.popleft()
        rhythm.misses += 1
        lost = sum(other.misses >= MAX_MISSES for other in self._rhythms.values())
        if lost > LOST_SHARE * len(self._rhythms):
            self._forget()

    def _forget(self) -> None:
        self.period_ms = None
        self._tried = 0
        for rhythm in self._rhythms.values():
            rhythm.changes.clear()
            rhythm.forget_phase()
            rhythm.misses = 0


def pair_width(pair: tuple[Change, Change]) -> float:
    """
    Tell how uncertain the time between two changes is.

    :param pair: two changes of one upstream
    :return: milliseconds
    """
    return pair[0].width_ms + pair[1].width_ms + 2 * SLACK_MS


def explains(period_ms: float, pairs: list[tuple[Change, Change]]) -> bool:
    """
    Tell whether the times between changes are multiples of a period.

    :param period_ms: the period
    :param pairs: changes of one upstream each
    :return: whether nearly all are, and too many to be so by chance
    """
    explained = 0
    expected = 0.0
    for pair in pairs:
        width = pair_width(pair)
        gap = pair[1].after_ms - pair[0].until_ms - SLACK_MS
        explained += (-gap) % period_ms <= width
        expected += min(1.0, width / period_ms)
    enough = explained >= FIT * len(pairs)
    return enough and expected <= CHANCE * len(pairs)
