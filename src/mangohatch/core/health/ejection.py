"""Health of upstreams by ejection, probation and slow start."""

import random

from mangohatch.clock import Clock
from mangohatch.core.call import Call, Report, Result
from mangohatch.core.health.base import Health
from mangohatch.core.health.listener import HealthListener, NoListener
from mangohatch.core.health.outlier import FAILURES, OutlierDetector
from mangohatch.core.health.settings import HealthSettings
from mangohatch.core.health.table import HealthRow, HealthState, HealthTable
from mangohatch.core.tables import UpstreamRow, UpstreamState

__all__ = ["OutlierHealth"]


class OutlierHealth(Health):
    """
    Ejects outliers, retries them with single requests, then ramps them up.

    If more than ``panic_share`` of the upstreams of a service are ejected or on
    probation, the cause is likely the site and not single upstreams, so all are
    eligible.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        cfg: HealthSettings | None = None,
        listener: HealthListener | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._cfg = cfg or HealthSettings()
        self._listener = listener or NoListener()
        self.table = HealthTable()
        self._detector = OutlierDetector(cfg=self._cfg, table=self.table)
        self._unhealthy: dict[str, int] = {}

    def observe(self, row: UpstreamRow, report: Report, holder_id: str) -> None:
        now_ms = self._clock.now_ms()
        if report.statement.replaced:
            self._listener.on_replaced(row)
        elif report.statement.leaving:
            self._listener.on_draining(row)
        health = self._find(row)
        self._detector.update(health, report, now_ms=now_ms)
        if health.state is HealthState.HEALTHY:
            cause = self._detector.find_cause(health, now_ms=now_ms)
            if cause:
                self._eject(health, cause)
        elif health.state is HealthState.PROBATION:
            self._evaluate_probation(health, report)

    def eligible(self, row: UpstreamRow, call: Call | None) -> bool:
        health = self._find(row)
        if health.state is HealthState.HEALTHY:
            return True
        if self.is_panicking(row.service):
            return True
        if health.state is HealthState.EJECTED or call is None:
            return False
        return call.idempotent and call.attempt == 1 and row.in_flight == 0

    def capacity(self, row: UpstreamRow) -> float:
        health = self._find(row)
        if health.ramp_start_ms is None:
            return 1.0
        cfg = self._cfg
        elapsed = (self._clock.now_ms() - health.ramp_start_ms) / cfg.ramp_ms
        if elapsed >= 1.0:
            health.ramp_start_ms = None
            return 1.0
        return max(cfg.ramp_floor, elapsed)

    def tick(self) -> None:
        now_ms = self._clock.now_ms()
        for rows in self.table.rows.values():
            for row in rows.values():
                self._tick_row(row, now_ms)

    def advise(self, row: UpstreamRow, *, ttl_ms: float) -> None:
        """
        Record advice of a peer that an upstream fails.

        The advice alone does not eject the upstream. While the advice is valid, the
        first failure on this host ejects it.

        :param row: the upstream
        :param ttl_ms: validity of the advice in milliseconds
        """
        self._find(row).advised_until_ms = self._clock.now_ms() + ttl_ms

    def is_panicking(self, service: str) -> bool:
        """
        Return whether too many upstreams are unhealthy to trust the evidence.

        :param service: name of the service
        :return: whether ejections are ignored
        """
        unhealthy = self._unhealthy.get(service, 0)
        if not unhealthy:
            return False
        return unhealthy > self._cfg.panic_share * len(self.table.used(service))

    def set_unused(self, service: str, names: frozenset[str]) -> None:
        """
        Leave out upstreams that this host does not use from all comparisons.

        :param service: name of the service
        :param names: names of registered upstreams that are not assigned to this host
        """
        if self.table.unused.get(service, frozenset()) != names:
            self.table.unused[service] = names
            self._count_unhealthy(service)

    def state_of(self, row: UpstreamRow) -> UpstreamState:
        """
        Return the state of an upstream, including its health.

        :param row: the upstream
        :return: the configured state unless it is active, else the state by health
        """
        if row.state is not UpstreamState.ACTIVE:
            return row.state
        if self._find(row).state is not HealthState.HEALTHY:
            return UpstreamState.EJECTED
        if self.capacity(row) < 1.0:
            return UpstreamState.WARMING
        return UpstreamState.ACTIVE

    def start_ramp(self, row: UpstreamRow) -> None:
        """
        Start to ramp up an upstream from ``ramp_floor`` after a cold start.

        :param row: the upstream
        """
        self._find(row).ramp_start_ms = self._clock.now_ms()

    def _find(self, upstream: UpstreamRow) -> HealthRow:
        row = self.table.find(upstream)
        if row is not None:
            return row
        address_changed = upstream.name in self.table.rows.get(upstream.service, {})
        row = self.table.add(upstream, now_ms=self._clock.now_ms())
        if address_changed:
            row.ramp_start_ms = self._clock.now_ms()
            self._count_unhealthy(upstream.service)
        return row

    def _eject(self, row: HealthRow, cause: str) -> None:
        cfg = self._cfg
        base_ms = min(cfg.ejection_ms * 2**row.ejections, cfg.ejection_max_ms)
        spread = self._rng.uniform(-cfg.ejection_jitter, cfg.ejection_jitter)
        duration_ms = base_ms * (1.0 + spread)
        row.state = HealthState.EJECTED
        row.ejections += 1
        row.ejected_until_ms = self._clock.now_ms() + duration_ms
        row.slow_since_ms = None
        self._count_unhealthy(row.service)
        self._listener.on_ejected(row, duration_ms=duration_ms, cause=cause)

    def _evaluate_probation(self, row: HealthRow, report: Report) -> None:
        if report.result in FAILURES:
            self._eject(row, "failed on probation")
            return
        if report.result is not Result.OK:
            return
        typical_ms = self._detector.typical_latency_ms(row)
        limit_ms = self._cfg.slow_floor_ms
        if typical_ms is not None:
            limit_ms = max(limit_ms, typical_ms * self._cfg.slow_ratio)
            if report.latency_ms > limit_ms:
                self._eject(row, f"latency {report.latency_ms:.0f} ms on probation")
                return
        row.probation_successes += 1
        if row.probation_successes >= self._cfg.probation_successes:
            self._restore(row)

    def _restore(self, row: HealthRow) -> None:
        now_ms = self._clock.now_ms()
        row.state = HealthState.HEALTHY
        row.consecutive_failures = 0
        row.attempts = 0
        row.failure_rate = 0.0
        row.latency_ms = 0.0
        row.ramp_start_ms = now_ms
        row.healthy_since_ms = now_ms
        self._count_unhealthy(row.service)
        self._listener.on_returned(row)

    def _tick_row(self, row: HealthRow, now_ms: float) -> None:
        if row.state is HealthState.EJECTED and now_ms >= row.ejected_until_ms:
            row.state = HealthState.PROBATION
            row.probation_successes = 0
        healthy = row.state is HealthState.HEALTHY
        if healthy and row.ejections:
            if now_ms - row.healthy_since_ms >= self._cfg.forgive_ms:
                row.ejections = 0

    def _count_unhealthy(self, service: str) -> None:
        self._unhealthy[service] = sum(
            row.state is not HealthState.HEALTHY for row in self.table.used(service)
        )
