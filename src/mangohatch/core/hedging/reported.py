"""Finds requests whose upstream is reported or observed to be slow."""

import math
from dataclasses import dataclass
from statistics import fmean as mean

from mangohatch.clock import Clock
from mangohatch.core.call import Call, Grant
from mangohatch.core.choice.expected import (
    WORK_FACTORS,
    ExpectedTimeChooser,
    count_slots,
)
from mangohatch.core.hedging.base import HedgePolicy
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.tables import Tables

__all__ = ["HedgeSettings", "ReportedSlowness"]


@dataclass(slots=True, kw_only=True, frozen=True)
class HedgeSettings:
    """
    Limits for second attempts.

    An attempt is late if it is expected to miss the objective of its request, or where
    there is none, to take more than ``late_factor`` times the typical work of its
    route. No attempt is late before ``min_wait_factor`` times the typical work. The
    remaining work of an attempt is assumed to be at least ``min_remaining_share`` of
    the typical work of its route, and the remaining time at least ``waited_share`` of
    the time waited so far. A hedge is expected to save at least ``min_saving_ms``. An
    upstream with more than ``high_load_share`` of its slots in use is assumed to take
    ``high_load_slowdown`` times as long.
    """

    late_factor: float = 3.0
    min_wait_factor: float = 1.5  # earlier hedges use up the share on short requests
    min_remaining_share: float = 0.25
    waited_share: float = 0.5
    min_saving_ms: float = 20.0
    high_load_share: float = 0.8
    high_load_slowdown: float = 1.7


class ReportedSlowness(HedgePolicy):
    """
    Finds attempts on upstreams that became slow after they were chosen.

    Designed for noisy neighbours under low use: at any moment about a third of the
    upstreams run at a quarter of their speed for a few hundred milliseconds, and most
    of the others have free slots. Placement avoids upstreams that are slow already.
    What is left are attempts whose upstream slows down under them. A load report shows
    this before the attempt is late; where reports are too old, the time waited does.

    An upstream without a load report is neither late nor expected to be sooner, so that
    a host that has just started sends no hedges until it knows speeds.

    :param clock: source of time
    :param tables: services and upstreams
    :param estimator: estimates completion times
    :param chooser: estimates completion on the upstreams with a free slot
    :param cfg: limits for second attempts
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tables: Tables,
        estimator: LoadEstimator,
        chooser: ExpectedTimeChooser,
        cfg: HedgeSettings | None = None,
    ) -> None:
        self._clock = clock
        self._tables = tables
        self._estimator = estimator
        self._chooser = chooser
        self._cfg = cfg or HedgeSettings()

    def is_late(self, grant: Grant) -> bool:
        if grant.upstream.load.load is None:
            return False
        cfg = self._cfg
        now_ms = self._clock.now_ms()
        work_ms = self._estimator.work_ms(grant.call.route)
        if now_ms - grant.granted_ms < cfg.min_wait_factor * work_ms:
            return False
        late_ms = grant.call.objective_ms
        if late_ms == math.inf:
            late_ms = grant.granted_ms + cfg.late_factor * work_ms
        _, remaining_ms = self._estimate(grant, now_ms)
        return now_ms + remaining_ms > late_ms

    def is_sooner(self, grant: Grant, hedge: Call) -> bool:
        service = self._tables.services.get(hedge.service)
        if service is None:
            return False
        now_ms = self._clock.now_ms()
        work_ms, remaining_ms = self._estimate(grant, now_ms)
        # The chooser multiplies the work by each of the factors itself.
        work_ms /= mean(WORK_FACTORS)
        hedge_ms = min(
            (
                self._chooser.completion_ms(row, hedge, work_ms, now_ms)
                + self._chooser.transfer_cost_ms(row, hedge)
                for row in service.upstreams.values()
                if row.load.load is not None
            ),
            default=math.inf,
        )
        return hedge_ms + self._cfg.min_saving_ms < remaining_ms

    def _estimate(self, grant: Grant, now_ms: float) -> tuple[float, float]:
        """
        Estimate the work of a request, given that it was not done by now.

        :param grant: its first attempt
        :param now_ms: monotonic time, in milliseconds
        :return: its whole work in milliseconds at the typical speed, and the time until
            the response; means over a typical request and one that takes long
        """
        cfg = self._cfg
        row = grant.upstream
        is_busy = row.load.occupancy() > cfg.high_load_share * count_slots(row)
        slowdown = cfg.high_load_slowdown if is_busy else 1.0
        done_ms = row.load.progress_ms(grant.granted_ms, now_ms) / slowdown
        typical_ms = self._estimator.work_ms(grant.call.route)
        least_ms = done_ms + cfg.min_remaining_share * typical_ms
        least_remaining_ms = cfg.waited_share * (now_ms - grant.granted_ms)
        works = [max(least_ms, factor * typical_ms) for factor in WORK_FACTORS]
        remaining = [
            max(
                self._estimator.finish_ms(row, (work - done_ms) * slowdown, now_ms),
                least_remaining_ms,
            )
            for work in works
        ]
        return mean(works), mean(remaining)
