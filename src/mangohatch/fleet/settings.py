"""Settings of a host in a fleet that shares a directory in a store."""

from dataclasses import dataclass

from mangohatch.core.limits.quota_bounds import QuotaBounds
from mangohatch.core.signs.settings import MAX_PAUSE_MS

__all__ = ["FleetBounds", "FleetSettings"]

Address = tuple[str, int]


@dataclass(slots=True, kw_only=True, frozen=True)
class FleetBounds:
    """
    Shutdown and retry limits of the hosts of a fleet.

    A process must end within ``grace_ms`` of SIGTERM. The retry limits apply to the
    fleet as a whole: in any period of ``retry_window_ms``, the repeated attempts for a
    service are at most ``retry_ratio`` times its requests, plus ``retry_slack``. Longer
    pauses than ``max_pause_ms`` that upstreams ask for are cut to it. ``quota`` bounds
    the requests of client accounts; None unless the deployment limits them.
    """

    grace_ms: float
    retry_ratio: float
    retry_slack: float
    retry_window_ms: float
    max_pause_ms: float = MAX_PAUSE_MS
    quota: QuotaBounds | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class FleetSettings:
    """
    Identity, addresses and bounds of one host.

    ``first_start`` is set while the whole fleet starts for the first time.
    """

    host_id: str
    zone: str
    entry: Address
    readiness: Address
    peers: Address
    metrics: Address
    seeds: tuple[Address, ...]
    store: Address
    bounds: FleetBounds
    first_start: bool = False
