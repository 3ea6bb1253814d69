"""Finds requests whose upstream is reported or observed to be slow."""

import math
from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.core.call import Call, Grant
from mangohatch.core.choice.expected import ExpectedTimeChooser
from mangohatch.core.hedging.base import HedgePolicy
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.tables import Tables

__all__ = ["HedgeSettings", "ReportedSlowness"]


@dataclass(slots=True, kw_only=True, frozen=True)
class HedgeSettings:
    """
    Limits for second attempts.

    An attempt is late if it is expected to take more than ``late_factor`` times the
    typical work of its route, or to miss the objective of its request. The remaining
    work of an attempt is assumed to be at least ``min_remaining_share`` of the typical
    work of its route, and the remaining time at least ``waited_share`` of the time
    waited so far. A hedge is expected to save at least ``min_saving_ms``.
    """

    late_factor: float = 3.0
    min_remaining_share: float = 0.25
    waited_share: float = 0.5
    min_saving_ms: float = 40.0  # a new connection plus the estimation error


class ReportedSlowness(HedgePolicy):
    """
    Finds attempts on upstreams that became slow after they were chosen.

    Designed for noisy neighbours under low use: at any moment about a third of the
    upstreams run at a quarter of their speed for a few hundred milliseconds, and most
    of the others have free slots. Placement avoids upstreams that are slow already.
    What is left are attempts whose upstream slows down under them. A load report shows
    this before the attempt is late; without one, the time waited does.

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
        now_ms = self._clock.now_ms()
        end_ms = now_ms + self._remaining_ms(grant, now_ms)
        work_ms = self._estimator.work_ms(grant.call.route)
        late_ms = grant.granted_ms + self._cfg.late_factor * work_ms
        return end_ms > min(late_ms, grant.call.objective_ms)

    def is_sooner(self, grant: Grant, hedge: Call) -> bool:
        service = self._tables.services.get(hedge.service)
        if service is None:
            return False
        now_ms = self._clock.now_ms()
        work_ms = self._estimator.work_ms(hedge.route)
        hedge_ms = min(
            (
                self._chooser.completion_ms(row, hedge, work_ms, now_ms)
                + self._chooser.transfer_cost_ms(row, hedge)
                for row in service.upstreams.values()
                if row.load.load is not None
            ),
            default=math.inf,
        )
        stay_ms = self._remaining_ms(grant, now_ms)
        return hedge_ms + self._cfg.min_saving_ms < stay_ms

    def _remaining_ms(self, grant: Grant, now_ms: float) -> float:
        """Estimate the time until the response to an attempt."""
        cfg = self._cfg
        row = grant.upstream
        work_ms = self._estimator.work_ms(grant.call.route)
        done_ms = row.load.progress_ms(grant.granted_ms, now_ms)
        rest_ms = max(work_ms - done_ms, cfg.min_remaining_share * work_ms)
        waited_ms = now_ms - grant.granted_ms
        return max(
            self._estimator.finish_ms(row, rest_ms, now_ms),
            cfg.waited_share * waited_ms,
        )
