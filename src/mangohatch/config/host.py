"""Model of the settings of one entry host."""

from pydantic import Field

from mangohatch.config.service import IPV4_PATTERN, Name, ServiceSpec, StrictModel
from mangohatch.config.state import ClaimSettings, StateSettings

__all__ = ["HostSettings", "Listener"]


class Listener(StrictModel):
    """An address that the process listens on."""

    address: str = Field(default="127.0.0.1", pattern=IPV4_PATTERN)
    port: int = Field(ge=0, le=65535)


class HostSettings(StrictModel):
    """Settings of one entry host, read once at start."""

    host_id: Name
    zone: Name
    region: Name
    entry: Listener
    admin: Listener | None = None
    peer: Listener | None = None
    seeds: tuple[Listener, ...] = Field(
        default=(), description="peer addresses contacted at start to join the fleet"
    )
    object_api: Listener | None = None
    host_list: Listener | None = None
    balancer_delay_ms: float = Field(
        default=3000.0,
        ge=0,
        description="time that the platform's balancer needs to detect a leaving host",
    )
    services: tuple[ServiceSpec, ...] = Field(
        default=(), description="services known before the object API is read"
    )
    state: StateSettings = StateSettings()
    claims: ClaimSettings = ClaimSettings()
