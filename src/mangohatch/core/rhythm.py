"""When the speed of an upstream changes, learnt from its reports."""

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


@dataclass(slots=True, kw_only=True)
class Rhythm:
    """
    Changes of one upstream, and the phase that explains them.

    ``phase_ms`` is the time of one change on the monotonic clock, None while it is
    not known. ``misses`` counts how often no phase fitted.
    """

    changes: deque[Change] = field(default_factory=lambda: deque(maxlen=MAX_CHANGES))
    phase_ms: float | None = None
    misses: int = 0

    def fit_phase(self, period_ms: float) -> None:
        """
        Find the phase that most changes allow.

        :param period_ms: time between possible changes
        """
        self.phase_ms = None
        if len(self.changes) < FEWEST_OWN:
            return
        anchor = min(self.changes, key=lambda change: change.width_ms)
        base_ms = anchor.after_ms
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
        chosen = [point for point, score in zip(candidates, scores) if score == best]
        # A change is seen late and never early, so the earliest time fits best.
        earliest = min(
            (point + period_ms / 2) % period_ms - period_ms / 2 for point in chosen
        )
        self.phase_ms = base_ms + earliest


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
        if self._contradicts(rhythm, change):
            self._lose(rhythm)
        limit_ms = SHORTEST_MS if self.period_ms is None else self.period_ms / 2
        if change.width_ms >= limit_ms:
            # It could have happened at nearly any phase.
            return
        rhythm.changes.append(change)
        if self.period_ms is None:
            self._search()
        if self.period_ms is not None:
            self._follow(rhythm)

    def _contradicts(self, rhythm: Rhythm, change: Change) -> bool:
        if rhythm.phase_ms is None or self.period_ms is None:
            return False
        arc = (change.after_ms, change.width_ms)
        return not in_arc(rhythm.phase_ms, arc, self.period_ms)

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
        rhythm = self._rhythms.get(upstream)
        if rhythm is None or rhythm.phase_ms is None or self.period_ms is None:
            return None
        return now_ms + self.period_ms - (now_ms - rhythm.phase_ms) % self.period_ms

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
            if rhythm.phase_ms is None or len(rhythm.changes) < FEWEST_OWN:
                continue
            counts, rests = [], []
            for change in rhythm.changes:
                middle_ms = (change.after_ms + change.until_ms) / 2
                count = round((middle_ms - rhythm.phase_ms) / self.period_ms)
                counts.append(count)
                rests.append(middle_ms - rhythm.phase_ms - count * self.period_ms)
            mean = sum(counts) / len(counts)
            drift += sum((count - mean) * rest for count, rest in zip(counts, rests))
            spread += sum((count - mean) ** 2 for count in counts)
        if spread:
            self.period_ms += drift / spread

    def _fit_all(self) -> None:
        assert self.period_ms is not None
        for rhythm in self._rhythms.values():
            rhythm.fit_phase(self.period_ms)

    def _follow(self, rhythm: Rhythm) -> None:
        assert self.period_ms is not None
        rhythm.fit_phase(self.period_ms)
        self._refine()
        self._doubt(rhythm)

    def _doubt(self, rhythm: Rhythm) -> None:
        if rhythm.phase_ms is None and len(rhythm.changes) >= FEWEST_MISSED:
            self._lose(rhythm)

    def _lose(self, rhythm: Rhythm) -> None:
        # The upstream may have started anew, with another phase.
        rhythm.phase_ms = None
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
            rhythm.phase_ms = None
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
