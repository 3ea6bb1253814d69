"""Choice by the expected time of completion, with calls that wait for a good place."""

import math
from dataclasses import dataclass

from mangohatch.core.call import Call, Grant, Report
from mangohatch.core.choice.base import Chooser
from mangohatch.core.tables import ServiceRow, UpstreamRow
from mangohatch.core.timers import Timers

__all__ = ["ExpectedTimeChooser", "PlacementSettings"]


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementSettings:
    """
    Weights of placement.

    A report loses its meaning with time: the expected slow-down moves from the one
    reported to ``mean_slowdown`` with ``memory_ms``. ``cold_slowdown`` is that of an
    upstream that has just started. ``tie`` is the share by which costs may differ and
    still count as equal. ``zone_cost_per_kb`` is what a kilobyte between availability
    zones costs, in slow-downs. A call waits for ``patience_ms`` while all free
    upstreams are at ``poor_slowdown`` or above.
    """

    mean_slowdown: float = 1.75  # a quarter of the upstreams at 4, the rest at 1
    memory_ms: float = 400.0  # noise redraws a neighbour's share every 300 ms
    cold_slowdown: float = 2.0
    tie: float = 0.15
    zone_cost_per_kb: float = 0.004  # 90 KB of a download cost a third of a slow-down
    poor_slowdown: float = 2.0
    patience_ms: float = 60.0  # of 180 ms that a lookup has to spare


class ExpectedTimeChooser(Chooser):
    """
    Picks among the free upstreams one that should be done first.

    Answers the load of shared machines, where at any moment some upstreams run
    several times slower than the others: what counts is not how many requests an
    upstream has, but whether one of its slots is free and how fast it runs now.
    Requests that find no free slot wait here and not at an upstream, so that each
    goes to the first slot that becomes free anywhere.

    :param timers: wakes calls that waited for a better place
    :param zone: availability zone of this host
    :param cfg: weights
    """

    def __init__(
        self,
        *,
        timers: Timers,
        zone: str,
        cfg: PlacementSettings | None = None,
        **parts,
    ) -> None:
        super().__init__(**parts)
        self._timers = timers
        self._zone = zone
        self._cfg = cfg or PlacementSettings()

    def choose(self, service: ServiceRow, call: Call) -> Grant | None:
        now_ms = self._clock.now_ms()
        costs = [
            (cost, row)
            for row in self.candidates(service, call)
            if (cost := self._cost(row, call, now_ms)) < math.inf
        ]
        if not costs:
            return None
        least = min(cost for cost, _ in costs)
        if least >= self._cfg.poor_slowdown and self._may_wait(call, now_ms):
            return None
        good = [row for cost, row in costs if cost <= least * (1.0 + self._cfg.tie)]
        row = self._rng.choice(good)
        grant = self.make_grant(call, row)
        row.load.begin(grant.granted_ms)
        return grant

    def release(self, service: ServiceRow, grant: Grant, report: Report) -> None:
        now_ms = self._clock.now_ms()
        grant.upstream.load.end(grant.granted_ms, now_ms)
        if report.load is not None:
            grant.upstream.load.observe(report.load, measured_ms=now_ms)

    def wait(self, service: ServiceRow, call: Call, waiting: int) -> bool:
        name = service.spec.name
        self._timers.call_later(self._cfg.patience_ms, lambda: self._available(name))
        return True

    def _may_wait(self, call: Call, now_ms: float) -> bool:
        return now_ms - call.arrived_ms < self._cfg.patience_ms

    def _cost(self, row: UpstreamRow, call: Call, now_ms: float) -> float:
        occupancy = row.load.occupancy()
        if call.isolated and occupancy:
            return math.inf
        slots = row.load.load.slots if row.load.load is not None else row.slots
        share = self._health.capacity(row)
        if occupancy >= max(1, round(slots * share)):
            return math.inf
        cost = self.slowdown(row, now_ms)
        if row.zone != self._zone:
            cost += self._cfg.zone_cost_per_kb * call.response_bytes / 1000.0
        return cost

    def slowdown(self, row: UpstreamRow, now_ms: float) -> float:
        """
        Estimate how much longer than usual work takes on an upstream now.

        :param row: the upstream
        :param now_ms: monotonic time
        :return: a multiple of the usual time
        """
        cfg = self._cfg
        estimate = cfg.mean_slowdown
        if row.load.load is not None:
            age_ms = max(0.0, now_ms - row.load.measured_ms)
            weight = math.exp(-age_ms / cfg.memory_ms)
            estimate += weight * (row.load.load.slowdown - cfg.mean_slowdown)
        if now_ms < row.warm_at_ms:
            estimate *= cfg.cold_slowdown
        return estimate
