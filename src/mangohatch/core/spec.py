"""What the decision core needs of a service's configuration, however it was read."""

from dataclasses import dataclass
from typing import Protocol

__all__ = [
    "DiscoveredService",
    "DiscoveredUpstream",
    "UpstreamSpec",
]


class UpstreamSpec(Protocol):
    """
    One upstream.

    ``started_ms`` tells its starts apart, 0 when that is not known; it is slow until
    ``warm_at_ms`` on the monotonic clock.
    """

    @property
    def name(self) -> str: ...

    @property
    def address(self) -> str: ...

    @property
    def port(self) -> int: ...

    @property
    def zone(self) -> str: ...

    @property
    def slots(self) -> int: ...

    @property
    def connections(self) -> int: ...

    @property
    def draining(self) -> bool: ...

    @property
    def started_ms(self) -> float: ...

    @property
    def warm_at_ms(self) -> float: ...


@dataclass(slots=True, kw_only=True, frozen=True)
class DiscoveredUpstream:
    """An upstream that registered itself."""

    name: str
    address: str
    port: int
    zone: str
    slots: int
    connections: int
    draining: bool = False
    started_ms: float = 0.0
    warm_at_ms: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class DiscoveredService:
    """A service whose upstreams register themselves."""

    name: str
    max_queue_wait_ms: float
    health_path: str
    upstreams: tuple[DiscoveredUpstream, ...] = ()
