"""Decides when a host reads a part of the directory from the store."""

import math
import random
from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.directory.exchange_delay import ExchangeDelay
from mangohatch.directory.part import DirectoryPart
from mangohatch.directory.ranking import ReaderRanking
from mangohatch.directory.settings import FollowerSettings
from mangohatch.directory.turns import count_first_turns, find_first_turn

__all__ = ["PartState", "ReadingSchedule"]


@dataclass(slots=True, kw_only=True)
class PartState:
    """
    Progress of one part: its copy and its next reading.

    ``behind_since_ms`` is the time at which a peer first announced newer content than
    this host's copy, None while no peer has; ``catch_up_at_ms`` is the time of the
    reading that follows from it. Of a ``watched`` part, ``watch_open`` is whether a
    call at the store waits for changes, and ``read_again`` whether one came during a
    reading.
    """

    part: DirectoryPart
    watched: bool = False
    watch_open: bool = False
    read_again: bool = False
    read_in_progress: bool = False
    retry_at_ms: float = 0.0
    failures: int = 0
    behind_since_ms: float | None = None
    catch_up_at_ms: float = math.inf


class ReadingSchedule:
    """
    Spaces the calls of all hosts to the store.

    While readings arrive, only the host of rank 0 reads. When they stop, the hosts try
    in turns, ``takeover_ms`` apart. The first 16 hosts share six turns, as the store
    may ignore several of them; later ones have a turn each, and so have all in the
    rounds that follow: four readings a second over the fleet, for any number of hosts.
    A host that is behind its peers or hears none of them does not wait for its turn, so
    the age of its copy does not grow with the number of hosts.

    :param clock: source of time
    :param rng: source of random numbers, spreads retries
    :param ranking: rank of this host
    :param delay: detects that the messages of this host arrive late
    :param cfg: intervals and delays
    :param first_start: whether the whole fleet starts for the first time
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        ranking: ReaderRanking,
        delay: ExchangeDelay,
        cfg: FollowerSettings,
        first_start: bool = False,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._ranking = ranking
        self._delay = delay
        self._cfg = cfg
        self._first_start = first_start
        self._started_ms = clock.now_ms()
        self._heard_ms = self._started_ms

    @property
    def rank(self) -> int:
        """Number of hosts that read before this one."""
        return self._ranking.rank

    def record_heard(self) -> None:
        """Record that marks of a peer have arrived."""
        self._heard_ms = self._clock.now_ms()

    def record_behind(self, state: PartState) -> None:
        """
        Record that a peer has newer content.

        :param state: state of the part
        """
        cfg = self._cfg
        state.behind_since_ms = self._clock.now_ms()
        spread_ms = self._rng.uniform(0.0, cfg.catch_up_spread_ms)
        state.catch_up_at_ms = state.behind_since_ms + cfg.catch_up_ms + spread_ms

    def end_behind(self, state: PartState) -> int:
        """
        Record that the copy is as new as that of the peers.

        :param state: state of the part
        :return: time in milliseconds for which the copy was behind
        """
        since_ms, state.behind_since_ms = state.behind_since_ms, None
        state.catch_up_at_ms = math.inf
        return 0 if since_ms is None else int(self._clock.now_ms() - since_ms)

    def record_failure(self, state: PartState) -> None:
        """
        Set the earliest time of the next reading after a failed one.

        :param state: state of the part
        """
        cfg = self._cfg
        state.failures += 1
        now_ms = self._clock.now_ms()
        max_delay_ms = min(cfg.backoff_ms * 2**state.failures, cfg.backoff_limit_ms)
        delay_ms = self._rng.uniform(max_delay_ms / 2, max_delay_ms)
        if not state.part.known and not self._isolated(now_ms):
            # Without a reading there are no turns. The retries of all hosts are spread
            # evenly, so that one soon succeeds; the others then learn from it.
            round_ms = self._ranking.count * cfg.takeover_ms
            spread_ms = min(round_ms, cfg.first_retry_limit_ms)
            delay_ms = max(cfg.takeover_ms, self._rng.uniform(0.0, spread_ms))
        state.retry_at_ms = now_ms + delay_ms

    def record_older(self, state: PartState) -> None:
        """
        Set the time of the next reading after one that was older than what is known.

        :param state: state of the part
        """
        state.retry_at_ms = self._clock.now_ms() + self._cfg.interval_ms

    def record_learned(self, state: PartState) -> None:
        """
        Forget failed readings once the first copy has arrived from a peer.

        :param state: state of the part
        """
        state.failures = 0
        state.retry_at_ms = 0.0

    def due_ms(self, state: PartState) -> float:
        """
        Return when to read a part.

        :param state: state of the part
        :return: time on the monotonic clock in milliseconds
        """
        cfg = self._cfg
        grace_ms = cfg.watch_grace_ms if state.watch_open else 0.0
        due_ms = min(self._turn_ms(state) + grace_ms, state.catch_up_at_ms)
        if state.part.known and self._ranking.others:
            informed_ms = max(self._heard_ms, state.part.read_ms)
            due_ms = min(due_ms, informed_ms + cfg.isolation_ms + grace_ms)
        return max(due_ms, state.retry_at_ms)

    def _isolated(self, now_ms: float) -> bool:
        return now_ms - self._heard_ms >= self._cfg.isolation_ms

    def _turn_ms(self, state: PartState) -> float:
        cfg = self._cfg
        ranking = self._ranking
        if not state.part.known:
            return self._first_ms(state)
        due_ms = state.part.read_ms + cfg.interval_ms
        if self._delay.late:
            # The readings of this host would look younger than they are.
            due_ms += cfg.late_delay_ms
        turn_ms = due_ms + find_first_turn(ranking.rank) * cfg.takeover_ms
        if not state.failures or state.retry_at_ms <= turn_ms:
            return turn_ms
        first_turns = count_first_turns(ranking.count)
        turn_ms = due_ms + (first_turns + ranking.rank) * cfg.takeover_ms
        round_ms = ranking.count * cfg.takeover_ms
        rounds = math.ceil((state.retry_at_ms - turn_ms) / round_ms)
        return turn_ms + max(0, rounds) * round_ms

    def _first_ms(self, state: PartState) -> float:
        """
        Return when to read a part that this host has no copy of.

        When the whole fleet starts for the first time, no caller waits for it: the
        first in the ranking reads at once, and the others receive the content from
        it. A host that starts later has callers, and reads at once.
        """
        cfg = self._cfg
        ranking = self._ranking
        if not self._first_start:
            return self._started_ms
        if state.behind_since_ms is not None:
            return state.catch_up_at_ms
        if not ranking.others:
            return self._started_ms + cfg.first_wait_ms
        if ranking.rank == 0:
            return self._started_ms
        steps_ms = min(ranking.rank * cfg.first_step_ms, cfg.first_wait_ms)
        return self._started_ms + cfg.first_wait_ms + steps_ms
