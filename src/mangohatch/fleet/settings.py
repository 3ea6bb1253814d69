"""Settings of a host in a fleet whose directory lies in a store."""

from dataclasses import dataclass

__all__ = ["FleetBounds", "FleetSettings"]

Address = tuple[str, int]


@dataclass(slots=True, kw_only=True, frozen=True)
class FleetBounds:
    """
    Bounds that all hosts of the fleet keep together.

    A process has ``grace_ms`` to end after SIGTERM. In any ``retry_window_ms`` a
    service may get ``retry_ratio`` of its requests and ``retry_slack`` more as
    repeated attempts.
    """

    grace_ms: float
    retry_ratio: float
    retry_slack: float
    retry_window_ms: float


@dataclass(slots=True, kw_only=True, frozen=True)
class FleetSettings:
    """Identity, addresses and bounds of one host."""

    host_id: str
    zone: str
    entry: Address
    readiness: Address
    peers: Address
    metrics: Address
    seeds: tuple[Address, ...]
    store: Address
    bounds: FleetBounds
