"""Estimates of the speed of upstreams and of the completion time of requests."""

import math
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.core.change_period import ChangePeriodTable
from mangohatch.core.load import UpstreamLoad
from mangohatch.core.tables import UpstreamRow

__all__ = ["LoadEstimator", "SpeedSettings"]

DEFAULT_WORK_MS = 100.0  # per request of a route without samples
WORK_GAIN = 0.1  # averages over about the last ten responses
# A change reported later than this is not the change that the period predicts.
REPORT_DELAY_MS = 60.0


@dataclass(slots=True, kw_only=True, frozen=True)
class SpeedSettings:
    """
    Assumed speeds of upstreams without a recent report.

    Reports lose accuracy with age: the expected slowdown decays exponentially from the
    reported value to ``mean_slowdown``, with time constant ``decay_ms``.
    ``cold_slowdown`` is the additional slowdown of an upstream that has just started.
    """

    mean_slowdown: float = 1.75  # a quarter of upstreams at 4, the rest at 1
    decay_ms: float = 400.0  # a neighbour's machine share is redrawn every 300 ms
    cold_slowdown: float = 2.0


class LoadEstimator:
    """
    Collects load reports and estimates the completion time of requests.

    ``on_improvement`` is called when a report that all hosts receive shows that an
    upstream has become faster or less busy. Its arguments are the upstream and a string
    that identifies the report.

    :param clock: source of time
    :param cfg: assumed speeds of upstreams without a recent report
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
        Store a report, unless a newer one is known.

        :param row: the upstream
        :param load: the report
        :param measured_ms: earliest monotonic time at which the report was made
        :param seen_ms: latest monotonic time at which the report was made
        :param shared: whether all hosts receive the report
        :return: whether the report was stored
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
        Discard the change periods of removed upstreams.

        :param rows: the upstreams to keep
        """
        self.change_periods.retain({upstream_key(row) for row in rows})

    def next_change_ms(self, row: UpstreamRow, now_ms: float) -> float | None:
        """
        Estimate when the speed of an upstream may change next.

        :param row: the upstream
        :param now_ms: monotonic time, in milliseconds
        :return: monotonic time of the next possible change, None while it is not known
        """
        return self.change_periods.next_change_ms(upstream_key(row), now_ms)

    def next_informative_probe_ms(
        self, row: UpstreamRow, now_ms: float
    ) -> float | None:
        """
        Return when a load probe would best narrow the change times of an upstream.

        :param row: the upstream
        :param now_ms: monotonic time, in milliseconds
        :return: monotonic time of the probe, None while the change times are not known
            or are known accurately
        """
        return self.change_periods.next_informative_probe_ms(upstream_key(row), now_ms)

    def record_work(self, route: str, work_ms: float) -> None:
        """
        Record the work of one request, to estimate that of its route.

        :param route: name of the route
        :param work_ms: milliseconds of work at the typical speed
        """
        known = self._work_ms.get(route, work_ms)
        self._work_ms[route] = known + WORK_GAIN * (work_ms - known)

    def work_ms(self, route: str) -> float:
        """
        Return the estimated work of a request.

        :param route: name of the route of the request
        :return: milliseconds of work at the typical speed
        """
        return self._work_ms.get(route, DEFAULT_WORK_MS)

    def finish_ms(self, row: UpstreamRow, work_ms: float, now_ms: float) -> float:
        """
        Estimate how long work would take on an upstream if it started now.

        :param row: the upstream
        :param work_ms: milliseconds of work at the typical speed
        :param now_ms: monotonic time, in milliseconds
        :return: duration in milliseconds
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
        Estimate the speed of an upstream.

        :param row: the upstream
        :param now_ms: monotonic time, in milliseconds
        :return: its slowdown, and the monotonic time until which the slowdown is
            expected to stay the same
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
            # The speed may have changed since the latest report.
            return cfg.mean_slowdown, now_ms
        weight = math.exp(-age_ms / cfg.decay_ms)
        slowdown = cfg.mean_slowdown + weight * (load.slowdown - cfg.mean_slowdown)
        return slowdown, math.inf


def ignore_improvement(row: UpstreamRow, report: str) -> None:
    """
    Do nothing; the default of ``on_improvement``.

    :param row: an upstream
    :param report: string that identifies the report
    """


def upstream_key(row: UpstreamRow) -> Hashable:
    """
    Return a key that identifies an upstream among those of all services.

    :param row: the upstream
    :return: service name and upstream name
    """
    return (row.service, row.name)
