"""Service configuration as used by the decision core, independent of its source."""

from dataclasses import dataclass
from typing import Protocol

from mangohatch.core.cold_state import WarmUp

__all__ = [
    "DiscoveredService",
    "DiscoveredUpstream",
    "UpstreamSpec",
]


class UpstreamSpec(Protocol):
    """
    Configuration of one upstream.

    ``started_ms`` distinguishes processes started under the same name; it is 0 when
    the start time is not known. The upstream is slow until ``warm_at_ms`` on the
    monotonic clock. ``warm_up`` is None unless its service has a warm-up rate.
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

    @property
    def warm_up(self) -> WarmUp | None: ...


@dataclass(slots=True, kw_only=True, frozen=True)
class DiscoveredUpstream:
    """
    An upstream that registers itself.

    ``warm_wall_ms`` is the time of day from which ``warm_at_ms`` was computed, where
    ``warm_up`` is set.
    """

    name: str
    address: str
    port: int
    zone: str
    slots: int
    connections: int
    draining: bool = False
    started_ms: float = 0.0
    warm_at_ms: float = 0.0
    warm_wall_ms: float = 0.0
    warm_up: WarmUp | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class DiscoveredService:
    """A service whose upstreams register themselves."""

    name: str
    max_queue_wait_ms: float
    health_path: str
    upstreams: tuple[DiscoveredUpstream, ...] = ()
