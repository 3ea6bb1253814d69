"""When the speeds of upstreams change, learnt from their reports."""

import math
import operator
from collections.abc import Hashable

from mangohatch.core.phase import FEWEST_OWN, FIT, SLACK_MS, Change, Rhythm

__all__ = ["RhythmTable"]

SHORTEST_MS = 100.0  # a shorter rhythm is over before its knowledge reaches anybody
LONGEST_MS = 1_500.0  # a longer one is followed well enough by regular questions
STEP_MS = 2.0  # of the periods that are tried
MAX_PAIRS = 60  # that are tried with each period, to bound the search
FEWEST_CHANGES = 20  # of all upstreams, before a period is believed
ERRORS = 2.0  # standard errors that the period may be wrong by
FINE_MS = 30.0  # a tenth of the shortest change seen; questions below it gain little
CHANCE = 0.5  # share that a period may explain by chance and still be told from luck
FEWEST_MISSED = 6  # changes of one upstream without a phase, before they are doubted
MAX_MISSES = 2  # after which an upstream speaks against the period
LOST_SHARE = 0.5  # of the upstreams that may do so before a period is given up


class RhythmTable:
    """
    Learns the rhythm in which the speeds of upstreams change.

    Answers a load that shifts at regular instants, as of neighbours whose shares are
    dealt anew on a schedule. All upstreams share the period, each has a phase of its
    own; those of a small service gain from what the others showed. What is not regular
    finds no period, and placement then goes by the age of reports alone.
    """

    def __init__(self) -> None:
        self.period_ms: float | None = None
        self._rhythms: dict[Hashable, Rhythm] = {}
        self._tried = 0
        self._error_ms = STEP_MS

    @property
    def known(self) -> bool:
        """Whether a period was found."""
        return self.period_ms is not None

    def observe(self, upstream: Hashable, *, after_ms: float, until_ms: float) -> None:
        """
        Take note of a change of speed.

        :param upstream: key of the upstream
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

    def keep_only(self, upstreams: set[Hashable]) -> None:
        """
        Forget upstreams that are gone.

        :param upstreams: keys of those that remain
        """
        for key in self._rhythms.keys() - upstreams:
            del self._rhythms[key]

    def next_change_ms(self, upstream: Hashable, now_ms: float) -> float | None:
        """
        Tell when the speed of an upstream may change next.

        :param upstream: key of the upstream
        :param now_ms: monotonic time
        :return: the first such time after now, None while it is not known
        """
        bounds = self._next_bounds(upstream, now_ms)
        return None if bounds is None else bounds[1]

    def next_doubt_ms(self, upstream: Hashable, now_ms: float) -> float | None:
        """
        Tell when a question would show most about the phase of an upstream.

        :param upstream: key of the upstream
        :param now_ms: monotonic time
        :return: a time after now, None while no phase is known or it is known well
        """
        bounds = self._next_bounds(upstream, now_ms)
        if bounds is None or bounds[1] - bounds[0] <= FINE_MS:
            return None
        middle_ms = (bounds[0] + bounds[1]) / 2
        return middle_ms if middle_ms > now_ms else None

    def _next_bounds(
        self, upstream: Hashable, now_ms: float
    ) -> tuple[float, float] | None:
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
