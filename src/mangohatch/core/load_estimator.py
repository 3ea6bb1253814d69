"""All that is known of the speed of upstreams, and what it means for a request."""

import math
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.core.change_period import ChangePeriodTable
from mangohatch.core.load import UpstreamLoad
from mangohatch.core.tables import UpstreamRow

__all__ = ["LoadEstimator", "SpeedSettings"]

DEFAULT_WORK_MS = 100.0  # of a request whose route has not been seen yet
WORK_GAIN = 0.1  # about the last ten responses count
# A change after this time is not the one that the rhythm predicts.
REPORT_DELAY_MS = 60.0


@dataclass(slots=True, kw_only=True, frozen=True)
class SpeedSettings:
    """
    What speeds are like where nothing is known.

    A report loses its meaning with time: the expected slow-down moves from the one
    reported to ``mean_slowdown`` with ``decay_ms``. ``cold_slowdown`` is that of an
    upstream that has just started.
    """

    mean_slowdown: float = 1.75  # a quarter of the upstreams at 4, the rest at 1
    decay_ms: float = 400.0  # noise redraws a neighbour's share every 300 ms
    cold_slowdown: float = 2.0


class LoadEstimator:
    """
    Takes reports of load, and estimates when a request would be done.

    ``on_improvement`` is called with an upstream that, by a report which all hosts
    get, has become faster or less busy, and with a name of that report.

    :param clock: source of time
    :param cfg: what speeds are like
    """

    def __init__(self, *, clock: Clock, cfg: SpeedSettings | None = None) -> None:
        self._clock = clock
        self._cfg = cfg or SpeedSettings()
        self.change_periods = ChangePeriodTable()
        self.on_improvement: Callable[[UpstreamRow, str], None] = ignore_improvement
        self._work_ms: dict[str, float] = {}

    def observe(
        self,
        row: UpstreamRow,
        load: UpstreamLoad,
        *,
        measured_ms: float,
        seen_ms: float,
        shared: bool = True,
    ) -> bool:
        """
        Take a report.

        :param row: the upstream
        :param load: the report
        :param measured_ms: the upstream made it no earlier than this
        :param seen_ms: and no later than this
        :param shared: whether all hosts get the report
        :return: False when a newer one is known
        """
        previous = row.load.load
        previous_occupancy = row.load.occupancy()
        after_ms = row.load.measured_ms
        if not row.load.observe(load, measured_ms=measured_ms):
            return False
        if previous is not None and previous.slowdown != load.slowdown:
            self.change_periods.observe(
                upstream_key(row), after_ms=after_ms, until_ms=seen_ms
            )
        if shared and previous is not None:
            faster = load.slowdown < previous.slowdown
            if faster or row.load.occupancy() < previous_occupancy:
                self.on_improvement(
                    row, f"{load.running}/{load.waiting}/{load.slowdown}"
                )
        return True

    def retain(self, rows: Iterable[UpstreamRow]) -> None:
        """
        Forget the rhythm of upstreams that are gone.

        :param rows: those that remain
        """
        self.change_periods.retain({upstream_key(row) for row in rows})

    def next_change_ms(self, row: UpstreamRow, now_ms: float) -> float | None:
        """
        Tell when the speed of an upstream may change next.

        :param row: the upstream
        :param now_ms: monotonic time
        :return: that time, None while it is not known
        """
        return self.change_periods.next_change_ms(upstream_key(row), now_ms)

    def next_informative_probe_ms(
        self, row: UpstreamRow, now_ms: float
    ) -> float | None:
        """
        Tell when a question would show most about the rhythm of an upstream.

        :param row: the upstream
        :param now_ms: monotonic time
        :return: that time, None while nothing is known or all is known well
        """
        return self.change_periods.next_informative_probe_ms(upstream_key(row), now_ms)

    def record_work(self, route: str, work_ms: float) -> None:
        """
        Learn how much work the requests of a route are.

        :param route: name of the route
        :param work_ms: work of one request, at the usual speed
        """
        known = self._work_ms.get(route, work_ms)
        self._work_ms[route] = known + WORK_GAIN * (work_ms - known)

    def work_ms(self, route: str) -> float:
        """
        Tell how much work a request of a route is.

        :param route: name of the route
        :return: milliseconds at the usual speed
        """
        return self._work_ms.get(route, DEFAULT_WORK_MS)

    def finish_ms(self, row: UpstreamRow, work_ms: float, now_ms: float) -> float:
        """
        Estimate how long work would take on an upstream from now on.

        :param row: the upstream
        :param work_ms: the work, at the usual speed
        :param now_ms: monotonic time
        :return: milliseconds
        """
        cfg = self._cfg
        slowdown, until_ms = self.speed(row, now_ms)
        cold_factor = cfg.cold_slowdown if now_ms < row.warm_at_ms else 1.0
        predicted_ms = until_ms - now_ms
        needed_ms = work_ms * slowdown * cold_factor
        if needed_ms <= predicted_ms:
            return needed_ms
        remaining_ms = work_ms - predicted_ms / (slowdown * cold_factor)
        return predicted_ms + remaining_ms * cfg.mean_slowdown * cold_factor

    def speed(self, row: UpstreamRow, now_ms: float) -> tuple[float, float]:
        """
        Estimate how fast an upstream runs.

        :param row: the upstream
        :param now_ms: monotonic time
        :return: its slow-down, and the time until which that holds
        """
        cfg = self._cfg
        load = row.load.load
        if load is None:
            return cfg.mean_slowdown, now_ms
        change_ms = self.next_change_ms(row, now_ms)
        age_ms = max(0.0, now_ms - row.load.measured_ms)
        if change_ms is not None:
            period_ms = self.change_periods.period_ms
            assert period_ms is not None
            if row.load.measured_ms > change_ms - period_ms:
                return load.slowdown, change_ms
            # The speed may have changed a moment ago, and no report tells yet.
            return cfg.mean_slowdown, now_ms
        weight = math.exp(-age_ms / cfg.decay_ms)
        slowdown = cfg.mean_slowdown + weight * (load.slowdown - cfg.mean_slowdown)
        return slowdown, math.inf


def ignore_improvement(row: UpstreamRow, report: str) -> None:
    """
    Stand in for whoever hears of reports.

    :param row: an upstream
    :param report: name of the report
    """


def upstream_key(row: UpstreamRow) -> Hashable:
    """
    Name an upstream among those of all services.

    :param row: the upstream
    :return: its service and name
    """
    return (row.service, row.name)
