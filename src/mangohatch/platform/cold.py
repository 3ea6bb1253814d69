"""Reads for how long upstreams are cold, and at which rate they warm up."""

from functools import lru_cache
from math import inf
from typing import Any

import structlog

from mangohatch.core.cold_state import WarmUp
from mangohatch.platform.values import (
    MAX_COLD_MS,
    DocumentError,
    describe,
    parse_duration_ms,
)

__all__ = ["read_cold_ms", "read_warm_up"]

MAX_LOGGED_VALUES = 1_000
NUMBER = (int, float)

log = structlog.get_logger()


def read_warm_up(service: str, spec: dict[str, Any]) -> WarmUp | None:
    """
    Read how the upstreams of a service warm up.

    :param service: name of the service, for the log
    :param spec: fields of the service
    :return: the warm-up; None if the service has no rate, or a value is invalid
    """
    per_s, duration = spec.get("warmup_per_s"), spec.get("slow_start")
    if per_s is None and duration is None:
        return None
    duration_ms = read_cold_ms(service, "slow_start", duration)
    if isinstance(per_s, bool) or not isinstance(per_s, NUMBER) or not 0 < per_s < inf:
        log_invalid(service, "warmup_per_s", describe(per_s), "a number above 0")
        return None
    if duration_ms is None:
        return None
    return WarmUp(duration_ms=duration_ms, per_s=float(per_s))


def read_cold_ms(owner: str, field: str, value: Any) -> float | None:
    """
    Read for how long something is cold; an invalid value is logged once.

    :param owner: name of the service or upstream, for the log
    :param field: name of the field, for the log
    :param value: value of the field
    :return: milliseconds, None if the value is invalid
    """
    try:
        cold_ms = parse_duration_ms(value)
    except DocumentError:
        cold_ms = inf
    if cold_ms <= MAX_COLD_MS:
        return cold_ms
    log_invalid(owner, field, describe(value), "a duration up to one hour")
    return None


@lru_cache(maxsize=MAX_LOGGED_VALUES)
def log_invalid(owner: str, field: str, value: str, expected: str) -> None:
    """
    Log an invalid value, once for each owner and value.

    :param owner: name of the service or upstream
    :param field: name of the field
    :param value: its value
    :param expected: what was expected
    """
    log.warning(
        "value_invalid", name=owner, field=field, value=value, expected=expected
    )
