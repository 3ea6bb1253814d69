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
    upstream last, and at ``connected_ms`` it last accepted a connection. ``lost_ms`` is
    set while only peers reach the upstream, to the begin of the first attempt that
    showed it. The path was checked last at ``checked_ms``. At ``detour_failed_ms``,
    peers did not reach the upstream either.
    """

    heard_ms: float = -math.inf
    connected_ms: float = -math.inf
    lost_ms: float | None = None
    checked_ms: float = -math.inf
    detour_failed_ms: float = -math.inf
