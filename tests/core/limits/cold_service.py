"""A service with one upstream that may be cold, for tests."""

from mangohatch.core.cold_state import WarmUp
from mangohatch.core.limits import ColdBounds
from mangohatch.core.spec import DiscoveredService, DiscoveredUpstream

__all__ = ["BOUNDS", "SERVICE", "UPSTREAM", "WARM_UP", "make_cold_service"]

SERVICE = "desk"
UPSTREAM = "u1"
WARM_UP = WarmUp(duration_ms=3_000.0, per_s=6.3)
BOUNDS = ColdBounds(over=1.5, slack=8.0)


def make_cold_service(warm_at_ms=0.0, warm_up=WARM_UP):
    upstream = DiscoveredUpstream(
        name=UPSTREAM,
        address="10.0.0.1",
        port=1,
        zone="z",
        slots=2,
        connections=10,
        warm_at_ms=warm_at_ms,
        warm_up=warm_up,
    )
    return DiscoveredService(
        name=SERVICE, max_queue_wait_ms=1.0, health_path="/", upstreams=(upstream,)
    )
