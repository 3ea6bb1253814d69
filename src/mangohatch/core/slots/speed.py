"""Estimates of the current speed of upstreams from recent responses."""

import math
from dataclasses import dataclass

from mangohatch.clock import Clock

__all__ = ["SpeedTable"]

DECAY_MS = 40.0
SAMPLE_WEIGHT = 0.5
MEAN_WEIGHT = 0.02


@dataclass(slots=True, kw_only=True)
class SpeedRow:
    """Excess of the recent latencies of an upstream over the mean of the shard."""

    excess_ms: float
    seen_ms: float


class SpeedTable:
    """
    Expected latencies of the upstreams of one shard.

    The weight of a measured latency decays with its age, so that an upstream that
    was slow is tried again.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._rows: dict[str, SpeedRow] = {}
        self.mean_ms = 0.0

    def record(self, upstream: str, latency_ms: float) -> None:
        """
        Record the latency of a response.

        :param upstream: name of the upstream
        :param latency_ms: latency of the response in milliseconds
        """
        if self.mean_ms == 0.0:
            self.mean_ms = latency_ms
        self.mean_ms += MEAN_WEIGHT * (latency_ms - self.mean_ms)
        excess_ms = latency_ms - self.mean_ms
        now_ms = self._clock.now_ms()
        row = self._rows.get(upstream)
        if row is None:
            self._rows[upstream] = SpeedRow(excess_ms=excess_ms, seen_ms=now_ms)
            return
        old_ms = row.excess_ms * math.exp((row.seen_ms - now_ms) / DECAY_MS)
        row.excess_ms = old_ms + SAMPLE_WEIGHT * (excess_ms - old_ms)
        row.seen_ms = now_ms

    def excess_ms(self, upstream: str, now_ms: float) -> float:
        """
        Estimate by how much an upstream is slower than the mean.

        :param upstream: name of the upstream
        :param now_ms: monotonic time in milliseconds
        :return: excess in milliseconds, negative for a faster upstream
        """
        row = self._rows.get(upstream)
        if row is None:
            return 0.0
        return row.excess_ms * math.exp((row.seen_ms - now_ms) / DECAY_MS)

    def retain(self, names: set[str]) -> None:
        """
        Drop the estimates of upstreams that no longer exist.

        :param names: names of the upstreams to retain
        """
        for name in self._rows.keys() - names:
            del self._rows[name]
