"""What the directory says, in types of this program."""

from collections.abc import Mapping
from dataclasses import dataclass

from mangohatch.core.routes import Route
from mangohatch.entry.limits import CallerLimits

__all__ = ["Configuration", "RegisteredUpstream", "ServiceOptions"]


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceOptions:
    """How to use the upstreams of a service."""

    health_path: str
    connections: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Configuration:
    """All that operators configure."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceOptions]
    limits: CallerLimits


@dataclass(slots=True, kw_only=True, frozen=True)
class RegisteredUpstream:
    """
    An upstream as it registered itself.

    ``started_ms`` is the time of day of its start, which tells two starts under one
    name apart; until ``warm_wall_ms``, also a time of day, it is slow.
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
