"""Choice by the expected time of completion, with calls that wait for a good place."""

import itertools
import math
from abc import ABC, abstractmethod
from dataclasses import dataclass

from mangohatch.core.call import Call, Grant, GrantBasis, Report, Result
from mangohatch.core.choice.base import Chooser
from mangohatch.core.contention import ContentionOrder
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.tables import ServiceRow, UpstreamRow
from mangohatch.core.timers import Timers

__all__ = ["ExpectedTimeChooser", "PlacementListener", "PlacementSettings"]

WORK_FACTORS = (1.0, 2.0)  # a usual request, and one of the longest in a hundred
RESPONSE_DELAY_MS = 5.0  # way of an answer and its reading
BYTES_PER_KB = 1000.0
MAX_WORK_MS = 1_000.0  # longer responses were held up by something else


class PlacementListener(ABC):
    """Hears of placed requests."""

    @abstractmethod
    def on_started(self, grant: Grant) -> None:
        """
        A request is about to be sent.

        :param grant: names request and upstream
        """

    @abstractmethod
    def on_ended(self, grant: Grant) -> None:
        """
        A request has ended.

        :param grant: as it began
        """

    @abstractmethod
    def on_waiting(self, service: str) -> None:
        """
        A call found no place and waits.

        :param service: name of its service
        """


class NoPlacementListener(PlacementListener):
    """Ignores all placings."""

    def on_started(self, grant: Grant) -> None:
        return None

    def on_ended(self, grant: Grant) -> None:
        return None

    def on_waiting(self, service: str) -> None:
        return None


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementSettings:
    """
    Weights of placement.

    ``tie_tolerance`` is the share by which costs may differ and still count as equal.
    ``cross_zone_ms_per_kb`` is what a kilobyte between availability zones costs, in
    milliseconds of a caller's time. A call waits for ``max_wait_for_faster_ms`` while
    every free upstream would take ``slow_threshold`` times as long as a usual one. An
    upstream with more than ``high_load_share`` of its slots in use is slower by
    ``high_load_slowdown``.
    """

    tie_tolerance: float = 0.1
    cross_zone_ms_per_kb: float = 1.5  # 90 KB of a download weigh 135 of 300 spare ms
    slow_threshold: float = 2.4
    max_wait_for_faster_ms: float = 60.0  # of 180 ms that a lookup has to spare
    high_load_share: float = 0.8
    high_load_slowdown: float = 1.7


class ExpectedTimeChooser(Chooser):
    """
    Picks among the free upstreams one that should be done first.

    Answers the load of shared machines, where at any moment some upstreams run
    several times slower than the others: what counts is not how many requests an
    upstream has, but whether one of its slots is free, how fast it runs now, and for
    how long that will hold. Requests that find no free slot wait here and not at an
    upstream, so that each goes to the first slot that becomes free anywhere.

    :param timers: wakes calls that waited for a better place
    :param estimator: estimates completion
    :param zone: availability zone of this host
    :param cfg: weights
    :param listener: hears of each request that is placed, and of its end
    :param contention: orders the hosts that may take a place which became free
    """

    def __init__(
        self,
        *,
        timers: Timers,
        estimator: LoadEstimator,
        zone: str,
        cfg: PlacementSettings | None = None,
        listener: PlacementListener | None = None,
        contention: ContentionOrder | None = None,
        **parts,
    ) -> None:
        super().__init__(**parts)
        self._timers = timers
        self._estimator = estimator
        self._zone = zone
        self._cfg = cfg or PlacementSettings()
        self._listener = listener or NoPlacementListener()
        self._contention = contention or ContentionOrder(clock=self._clock, host_id="")
        self._tokens = itertools.count(1)

    def choose(self, service: ServiceRow, call: Call) -> Grant | None:
        now_ms = self._clock.now_ms()
        work_ms = self._estimator.work_ms(call.route)
        estimates = [
            (time_ms, row)
            for row in service.upstreams.values()
            if (time_ms := self.completion_ms(row, call, work_ms, now_ms)) < math.inf
        ]
        if not estimates:
            self.candidates(service, call)
            return None
        if now_ms - call.arrived_ms < self._cfg.max_wait_for_faster_ms:
            quickest_ms = min(time_ms for time_ms, _ in estimates)
            if quickest_ms >= self._cfg.slow_threshold * work_ms:
                return None
        costs = [
            time_ms + self.transfer_cost_ms(row, call) for time_ms, row in estimates
        ]
        limit_ms = min(costs) * (1.0 + self._cfg.tie_tolerance)
        near_best = [
            row
            for cost, (_, row) in zip(costs, estimates, strict=True)
            if cost <= limit_ms
        ]
        row = self._rng.choice(near_best)
        grant = self.make_grant(call, row)
        grant.basis = self._basis(row, work_ms, now_ms, len(estimates))
        grant.token = next(self._tokens)
        row.load.begin(grant.granted_ms)
        if self._contention.is_contested(service.spec.name):
            # A second place of it may be another host's.
            row.load.reserved_until_ms = now_ms + self._contention.window_ms
        self._listener.on_started(grant)
        return grant

    def typical_ms(self, call: Call) -> float:
        return self._estimator.work_ms(call.route)

    def release(self, service: ServiceRow, grant: Grant, report: Report) -> None:
        now_ms = self._clock.now_ms()
        row = grant.upstream
        self._record_work(grant, report)
        row.load.end(grant.granted_ms, now_ms)
        self._listener.on_ended(grant)
        if report.load is not None:
            self._estimator.observe(
                row,
                report.load,
                measured_ms=now_ms - RESPONSE_DELAY_MS,
                seen_ms=now_ms,
                shared=False,
            )
        self.apply_contention_order(row, f"{self._contention.host_id}/{grant.token}")

    def apply_contention_order(self, row: UpstreamRow, event: str) -> None:
        """
        Leave a place that became free to the hosts whose turn comes before.

        :param row: the upstream
        :param event: names what all hosts heard of
        """
        name = row.service
        delay_ms = self._contention.delay_ms(
            name, f"{row.name}/{event}", self._urgency(name)
        )
        row.load.reserved_until_ms = self._clock.now_ms() + delay_ms
        if delay_ms > 0.0:
            self._timers.call_later(delay_ms, lambda: self._available(name))

    def _record_work(self, grant: Grant, report: Report) -> None:
        basis = grant.basis
        first_byte_ms = report.first_byte_ms
        if basis is None or first_byte_ms is None or report.result is not Result.OK:
            return
        # Only what ran alone and at one speed tells how much work it was.
        if basis.occupancy == 0 and first_byte_ms < min(basis.hold_ms, MAX_WORK_MS):
            work_ms = first_byte_ms / basis.slowdown
            self._estimator.record_work(grant.call.route, work_ms)

    def wait(self, service: ServiceRow, call: Call, waiting: int) -> bool:
        name = service.spec.name
        self._timers.call_later(
            self._cfg.max_wait_for_faster_ms, lambda: self._available(name)
        )
        self._listener.on_waiting(name)
        return True

    def _basis(
        self, row: UpstreamRow, work_ms: float, now_ms: float, free: int
    ) -> GrantBasis:
        slowdown, until_ms = self._estimator.speed(row, now_ms)
        return GrantBasis(
            expected_ms=self._estimator.finish_ms(row, work_ms, now_ms),
            slowdown=slowdown,
            hold_ms=until_ms - now_ms,
            report_age_ms=now_ms - row.load.measured_ms,
            occupancy=row.load.occupancy(),
            free=free,
        )

    def min_completion_ms(
        self, service: ServiceRow, call: Call, work_ms: float
    ) -> float:
        """
        Tell how soon a call would be done on the best place that is free now.

        :param service: the service of the call
        :param call: the call, with the upstreams to avoid
        :param work_ms: its work at the usual speed
        :return: milliseconds, infinite when nothing is free
        """
        now_ms = self._clock.now_ms()
        return min(
            (
                self.completion_ms(row, call, work_ms, now_ms)
                + self.transfer_cost_ms(row, call)
                for row in service.upstreams.values()
            ),
            default=math.inf,
        )

    def completion_ms(
        self, row: UpstreamRow, call: Call, work_ms: float, now_ms: float
    ) -> float:
        """
        Estimate how long a call would take on an upstream.

        :param row: the upstream
        :param call: the call
        :param work_ms: its work at the usual speed
        :param now_ms: monotonic time
        :return: milliseconds, infinite without a free slot or this host's turn
        """
        if now_ms < row.load.reserved_until_ms:
            return math.inf
        occupancy = row.load.occupancy()
        if call.isolated and occupancy:
            return math.inf
        slots = row.load.load.slots if row.load.load is not None else row.slots
        # Most upstreams are full on the days that matter, so that is asked first.
        if occupancy >= slots or not self.is_open(row, call):
            return math.inf
        share = self._health.capacity(row)
        if occupancy >= max(1, round(slots * share)):
            return math.inf
        cfg = self._cfg
        if (occupancy + 1) / slots > cfg.high_load_share:
            work_ms *= cfg.high_load_slowdown
        # Work varies: a place must also be good for a request that takes long.
        times = [
            self._estimator.finish_ms(row, work_ms * factor, now_ms)
            for factor in WORK_FACTORS
        ]
        return sum(times) / len(times)

    def transfer_cost_ms(self, row: UpstreamRow, call: Call) -> float:
        """
        Weigh the way of a call's response.

        :param row: the upstream
        :param call: the call
        :return: the price of bytes between zones, in milliseconds of a caller's time
        """
        if row.zone == self._zone:
            return 0.0
        return self._cfg.cross_zone_ms_per_kb * call.response_bytes / BYTES_PER_KB
