"""Settings of a host in a fleet that shares a directory in a store."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from mangohatch.core.limits.cold import ColdBounds
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
    pauses than ``max_pause_ms`` that upstreams ask for are cut to it. Evacuations of
    zones are followed only where ``evacuate_ms`` is set; it is the time within which
    they have to be in force on all hosts.
    ``cold`` bounds what cold upstreams get; None unless the deployment limits them.
    ``hedge_ratio`` is the share of the requests that may get a second attempt, 0 for
    none.
    ``quota`` bounds the requests of client accounts; None unless the deployment
    limits them.
    """

    grace_ms: float
    retry_ratio: float
    retry_slack: float
    retry_window_ms: float
    max_pause_ms: float = MAX_PAUSE_MS
    evacuate_ms: float | None = None
    cold: ColdBounds | None = None
    hedge_ratio: float = 0.0
    quota: QuotaBounds | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class FleetSettings:
    """
    Identity, addresses and bounds of one host.

    ``first_start`` is set while the whole fleet starts for the first time. With
    ``late_requests_yield``, the objective of requests that callers repeat counts from
    their first attempt, and late requests do not bring upstreams under high load.
    ``regions`` maps availability zones to regions. ``max_descriptors`` is the number of
    file descriptors that the process may have; None if it is not known.
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
    late_requests_yield: bool = False
    regions: Mapping[str, str] = field(default_factory=dict)
    max_descriptors: int | None = None

    def update(self, cfg: "FleetSettings") -> "FleetSettings":
        """
        Apply the changes that can take effect while the process runs.

        :param cfg: the new settings; their addresses and identity are not used
        :return: the settings to use
        """
        return replace(self, seeds=cfg.seeds, bounds=cfg.bounds, regions=cfg.regions)
