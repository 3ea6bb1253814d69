"""Limits on the size and duration of requests."""

from dataclasses import dataclass

__all__ = ["CallerLimits"]


@dataclass(slots=True, kw_only=True)
class CallerLimits:
    """Limits of a caller's connection; configuration updates change them in place."""

    head_bytes: int = 32_768
    body_bytes: int = 1 << 40
    head_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0
