"""Settings of a host and specifications of services, validated when they are read."""

from mangohatch.config.host import HostSettings, Listener
from mangohatch.config.loader import load_settings
from mangohatch.config.service import (
    IdempotencyRule,
    MeasuringBudget,
    ServiceSpec,
    UpstreamSpec,
)
from mangohatch.config.state import ClaimSettings, StateSettings

__all__ = [
    "ClaimSettings",
    "HostSettings",
    "IdempotencyRule",
    "Listener",
    "MeasuringBudget",
    "ServiceSpec",
    "StateSettings",
    "UpstreamSpec",
    "load_settings",
]
