"""Settings of a host and specifications of services, checked at the border."""

from mangohatch.config.host import HostSettings, Listener
from mangohatch.config.loader import load_settings
from mangohatch.config.service import (
    IdempotencyRule,
    MeasuringBudget,
    ServiceSpec,
    UpstreamSpec,
)

__all__ = [
    "HostSettings",
    "IdempotencyRule",
    "Listener",
    "MeasuringBudget",
    "ServiceSpec",
    "UpstreamSpec",
    "load_settings",
]
