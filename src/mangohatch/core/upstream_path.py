"""The direct path from this host to one upstream."""

import math
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["ConnectFailure", "UpstreamPath"]


class ConnectFailure(StrEnum):
    """How a new connection to an upstream failed."""

    REFUSED = "refused"
    RESET = "reset"
    TIMED_OUT = "timed_out"


@dataclass(slots=True, kw_only=True)
class UpstreamPath:
    """
    What this host knows of its own path to an upstream.

    Times are monotonic milliseconds. At ``heard_ms``, something arrived from the
    upstream last. At ``failed_ms``, a new connection to it failed last, in the way that
    ``failure`` names.
    """

    heard_ms: float = -math.inf
    failed_ms: float = -math.inf
    failure: ConnectFailure | None = None
