"""Types for the decoded content of the directory."""

from collections.abc import Mapping
from dataclasses import dataclass

from mangohatch.core.accounts import Account
from mangohatch.core.cold_state import WarmUp
from mangohatch.core.routes import Route
from mangohatch.entry.limits import CallerLimits

__all__ = ["Configuration", "RegisteredUpstream", "ServiceOptions"]


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceOptions:
    """
    Options for the upstreams of a service.

    ``health_path`` is the path of health checks; ``connections`` is the maximum number
    of connections to an upstream. ``warm_up`` is None unless cold upstreams have a
    rate.
    """

    health_path: str
    connections: int
    warm_up: WarmUp | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class Configuration:
    """The configuration that operators maintain."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceOptions]
    limits: CallerLimits
    accounts: tuple[Account, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class RegisteredUpstream:
    """
    An upstream as it has registered itself.

    ``started_ms`` is the time of day at which the upstream started; it distinguishes
    two starts under the same name. The upstream is slow until ``warm_wall_ms``, also a
    time of day. Both are in milliseconds.
    """

    name: str
    service: str
    address: str
    port: int
    zone: str
    slots: int
    draining: bool
    started_ms: float
    warm_wall_ms: float
