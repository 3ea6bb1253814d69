"""Thresholds for the health of upstreams."""

from dataclasses import dataclass

__all__ = ["HealthSettings"]


@dataclass(slots=True, kw_only=True, frozen=True)
class HealthSettings:
    """
    Thresholds; shares are fractions of 1, times are in milliseconds.

    The return threshold for slowness is below the ejection threshold, so that an
    upstream near one of them does not change state with every attempt.
    """

    consecutive_failures: int = 3
    failure_rate: float = 0.5
    failure_rate_attempts: int = 10
    failure_weight: float = 0.1
    slow_ratio: float = 4.0
    slow_return_ratio: float = 2.0
    slow_for_ms: float = 2_000.0
    slow_floor_ms: float = 5.0
    latency_window_ms: float = 1_000.0
    ejection_ms: float = 1_000.0
    ejection_max_ms: float = 60_000.0
    ejection_jitter: float = 0.2
    probation_successes: int = 3
    panic_share: float = 0.5
    ramp_ms: float = 3_000.0
    ramp_floor: float = 0.1
    forgive_ms: float = 30_000.0
