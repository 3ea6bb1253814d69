"""Choice of upstreams by expected completion time; calls may wait for a faster one."""

import itertools
import math

from mangohatch.core.call import Call, Grant, GrantBasis, Report, Result
from mangohatch.core.choice.base import Chooser
from mangohatch.core.choice.cold import prefer_warm
from mangohatch.core.choice.placement import (
    NoPlacementListener,
    PlacementListener,
    PlacementSettings,
)
from mangohatch.core.contention import ContentionOrder
from mangohatch.core.limits import NoSendLimits, SendLimits
from mangohatch.core.load_estimator import LoadEstimator
from mangohatch.core.tables import ServiceRow, UpstreamRow
from mangohatch.core.timers import Timers

__all__ = ["ExpectedTimeChooser"]

WORK_FACTORS = (1.0, 2.0)  # work of a typical request, and at the 99th percentile
RESPONSE_DELAY_MS = 5.0  # transfer and parsing of a response
BYTES_PER_KB = 1000.0
MAX_WITHHELD = 5  # named for each request in the log
MAX_WORK_MS = 1_000.0  # longer responses were delayed by something other than work


class ExpectedTimeChooser(Chooser):
    """
    Chooses a free upstream with the lowest expected completion time and transfer cost.

    Among upstreams whose costs count as equal, one is chosen at random.

    Designed for upstreams on shared machines: at any moment some of them run several
    times slower than the others. The choice therefore depends on whether an upstream
    has a free slot, how fast it runs now and how long that speed will last, and not
    on its number of requests. Requests that find no free slot wait at this host and
    not at an upstream, so that each takes the first slot that becomes free on any
    upstream.

    :param timers: wakes calls that waited for a faster upstream
    :param estimator: estimates completion times
    :param zone: availability zone of this host
    :param cfg: weights
    :param listener: is notified of placed requests, their ends, and waiting calls
    :param contention: orders the hosts that compete for a freed slot
    :param limits: permits requests to upstreams that name a limit
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
        limits: SendLimits | None = None,
        **parts,
    ) -> None:
        super().__init__(**parts)
        self._timers = timers
        self._estimator = estimator
        self._zone = zone
        self._cfg = cfg or PlacementSettings()
        self._listener = listener or NoPlacementListener()
        self._contention = contention or ContentionOrder(clock=self._clock, host_id="")
        self._limits = limits or NoSendLimits()
        self._tokens = itertools.count(1)

    def choose(self, service: ServiceRow, call: Call) -> Grant | None:
        now_ms = self._clock.now_ms()
        self._limits.detect_pause()
        work_ms = self._estimator.work_ms(call.route)
        estimates = [
            (time_ms, row)
            for row in service.upstreams.values()
            if (time_ms := self.completion_ms(row, call, work_ms, now_ms)) < math.inf
        ]
        if not estimates:
            self.require_candidate(service, call)
            return None
        estimates = prefer_warm(estimates, self._cfg.slow_threshold * work_ms)
        if now_ms - call.arrived_ms < self._max_wait_for_faster_ms(call, work_ms):
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
        grant.basis = self._basis(service, row, call, work_ms, len(estimates))
        grant.token = next(self._tokens)
        self._limits.take(row)
        row.load.begin(grant.granted_ms)
        if self._contention.is_contested(row.service, row.name):
            # Calls wait on other hosts, so these may take another free slot of this
            # upstream first, for one window.
            row.load.reserved_until_ms = now_ms + self._contention.window_ms
        self._listener.on_started(grant)
        return grant

    def has_room(self, service: ServiceRow) -> bool:
        now_ms = self._clock.now_ms()
        rows = service.upstreams.values()
        if any(
            self._is_free(row, now_ms) and not row.zones.is_evacuated(row.zone)
            for row in rows
        ):
            return True
        return not any(self.is_open(row, None) for row in rows)

    def typical_ms(self, call: Call) -> float:
        return self._estimator.work_ms(call.route)

    def expected_wait_ms(self, service: ServiceRow, call: Call) -> float:
        # Any upstream without a limit may become free at any moment.
        for row in service.upstreams.values():
            if not (row.limited and row.cold.known) and self.is_open(row, call):
                return 0.0
        return self._limits.expected_wait_ms(service.spec.name)

    def release(self, service: ServiceRow, grant: Grant, report: Report) -> None:
        now_ms = self._clock.now_ms()
        row = grant.upstream
        self._record_work(grant, report)
        row.load.end(grant.granted_ms, now_ms)
        self._listener.on_ended(grant)
        statement = report.statement
        if statement.limit_per_s is not None:
            self._limits.observe(row, statement.limit_per_s)
        if statement.load is not None:
            self._estimator.observe(
                row,
                statement.load,
                measured_ms=now_ms - RESPONSE_DELAY_MS,
                seen_ms=now_ms,
                shared=False,
            )
        self.apply_contention_order(row, f"{self._contention.host_id}/{grant.token}")

    def apply_contention_order(self, row: UpstreamRow, event: str) -> None:
        """
        Reserve a freed slot for the hosts that come earlier in the contention order.

        :param row: the upstream of the slot
        :param event: identifier of the event that freed the slot, equal on all hosts
        """
        name = row.service
        delay_ms = self._contention.delay_ms(
            name, f"{row.name}/{event}", self._urgency(name), row.name
        )
        row.load.reserved_until_ms = self._clock.now_ms() + delay_ms
        if delay_ms > 0.0:
            self._timers.call_later(delay_ms, lambda: self._available(name))

    def _record_work(self, grant: Grant, report: Report) -> None:
        basis = grant.basis
        first_byte_ms = report.first_byte_ms
        if basis is None or first_byte_ms is None or report.result is not Result.OK:
            return
        # The response time shows the work of a request only if no other request was at
        # the upstream and the upstream's speed did not change.
        if basis.occupancy == 0 and first_byte_ms < min(basis.hold_ms, MAX_WORK_MS):
            work_ms = first_byte_ms / basis.slowdown
            self._estimator.record_work(grant.call.route, work_ms)

    def wait(self, service: ServiceRow, call: Call, waiting: int) -> bool:
        name = service.spec.name
        max_wait_ms = self._max_wait_for_faster_ms(call, self.typical_ms(call))
        self._timers.call_later(max_wait_ms, lambda: self._available(name))
        self._listener.on_waiting(name)
        self._limits.request(name)
        return True

    def _max_wait_for_faster_ms(self, call: Call, work_ms: float) -> float:
        cfg = self._cfg
        spare_ms = call.objective_ms - call.arrived_ms - work_ms
        share_ms = cfg.wait_for_faster_share * max(0.0, spare_ms)
        return min(share_ms, cfg.max_wait_for_faster_ms)

    def _basis(
        self,
        service: ServiceRow,
        row: UpstreamRow,
        call: Call,
        work_ms: float,
        free: int,
    ) -> GrantBasis:
        now_ms = self._clock.now_ms()
        allowed = call.allowed_regions
        zoned = row.zones.restricts(allowed)
        withheld = (
            f"{item.name} {reason}"
            for item in service.upstreams.values()
            if (reason := item.signs.describe(now_ms))
            or (zoned and (reason := item.zones.describe(item.zone, allowed)))
        )
        slowdown, until_ms = self._estimator.speed(row, now_ms)
        return GrantBasis(
            expected_ms=self._estimator.finish_ms(row, work_ms, now_ms),
            slowdown=slowdown,
            hold_ms=until_ms - now_ms,
            report_age_ms=now_ms - row.load.measured_ms,
            occupancy=row.load.occupancy(),
            free=free,
            withheld=tuple(itertools.islice(withheld, MAX_WITHHELD)),
        )

    def min_completion_ms(
        self, service: ServiceRow, call: Call, work_ms: float
    ) -> float:
        """
        Estimate the lowest completion time of a call on the upstreams that are free.

        :param service: the service of the call
        :param call: the call, with the upstreams to avoid
        :param work_ms: work of the call, in milliseconds at the typical speed
        :return: milliseconds, including the transfer cost; infinite if no upstream is
            free
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
        :param work_ms: work of the call, in milliseconds at the typical speed
        :param now_ms: monotonic time, in milliseconds
        :return: milliseconds, infinite when no slot is free for this host and this call
        """
        # Under high load most upstreams are full, so the slots are checked first.
        if not self._is_free(row, now_ms):
            return math.inf
        occupancy = row.load.occupancy()
        if call.isolated and occupancy or not self.is_open(row, call):
            return math.inf
        slots = count_slots(row)
        if row.limited and not self._limits.may_send(row):
            return math.inf
        share = self._health.capacity(row)
        if occupancy >= max(1, round(slots * share)):
            return math.inf
        cfg = self._cfg
        if (occupancy + 1) / slots > cfg.high_load_share:
            if cfg.late_requests_yield and now_ms > call.start_by_ms:
                return math.inf
            work_ms *= cfg.high_load_slowdown
        # The work of requests varies, so the estimate is the mean over a typical
        # request and one that takes long.
        times = [
            self._estimator.finish_ms(row, work_ms * factor, now_ms)
            for factor in WORK_FACTORS
        ]
        return sum(times) / len(times)

    def _is_free(self, row: UpstreamRow, now_ms: float) -> bool:
        if now_ms < row.load.reserved_until_ms:
            return False
        return row.load.occupancy() < self._cfg.useful_slots(count_slots(row))

    def transfer_cost_ms(self, row: UpstreamRow, call: Call) -> float:
        """
        Return the cost of transferring a call's response between zones.

        :param row: the upstream
        :param call: the call
        :return: milliseconds of a caller's time, 0 within the zone of this host
        """
        if row.zone == self._zone:
            return 0.0
        return self._cfg.cross_zone_ms_per_kb * call.response_bytes / BYTES_PER_KB


def count_slots(row: UpstreamRow) -> int:
    """
    Count the requests that an upstream runs at once.

    :param row: the upstream
    :return: slots in its latest report, or else in its registration
    """
    return row.load.load.slots if row.load.load is not None else row.slots
