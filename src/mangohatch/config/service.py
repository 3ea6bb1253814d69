"""Models of a service and its upstreams as operators declare them."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

__all__ = ["IdempotencyRule", "MeasuringBudget", "ServiceSpec", "UpstreamSpec"]

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.\-]{0,62}$")]
IPV4_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$"


class StrictModel(BaseModel):
    """Base of validated input models: rejects unknown fields; instances are frozen."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class UpstreamSpec(StrictModel):
    """One backend server process of a service."""

    name: Name
    address: str = Field(pattern=IPV4_PATTERN)
    port: int = Field(ge=1, le=65535)
    zone: Name
    slots: int = Field(default=2, ge=1, le=1024, description="concurrent requests")
    connections: int = Field(default=200, ge=1, description="accepted connections")
    draining: bool = Field(default=False, description="accepts no new requests")

    @property
    def started_ms(self) -> float:
        """Start time of the upstream; 0 because its declaration does not state it."""
        return 0.0

    @property
    def warm_at_ms(self) -> float:
        """End of the warm-up; 0 because the declaration does not state it."""
        return 0.0

    @property
    def warm_up(self) -> None:
        """Warm-up rate; None because the declaration does not state it."""
        return None


class MeasuringBudget(StrictModel):
    """Limits on what one entry host spends on measuring a service."""

    calls_per_second: float = Field(default=20.0, ge=0)
    bytes_per_second: float = Field(default=4096.0, ge=0)
    calls_per_request: float = Field(default=0.5, ge=0)


class IdempotencyRule(StrictModel):
    """Overrides the idempotency implied by the method; the first match applies."""

    method: str = Field(pattern=r"^[A-Z]+$")
    path_prefix: str = Field(pattern=r"^/")
    idempotent: bool


class ServiceSpec(StrictModel):
    """A service with the path prefix of its requests and the upstreams that run it."""

    name: Name
    path_prefix: str = Field(pattern=r"^/")
    deadline_ms: float = Field(
        default=10_000.0,
        gt=0,
        description="deadline of requests that state none",
    )
    max_queue_wait_ms: float = Field(
        default=15.0,
        gt=0,
        le=60_000.0,
        description="maximum wait for an upstream before the request is refused; "
        "for requests that run for seconds, about the run time of one request",
    )
    rules: tuple[IdempotencyRule, ...] = ()
    measuring: MeasuringBudget = MeasuringBudget()
    upstreams: tuple[UpstreamSpec, ...] = ()

    @model_validator(mode="after")
    def check_names(self) -> "ServiceSpec":
        """
        Check that upstream names are unique.

        :return: the model itself
        :raises ValueError: when two upstreams share a name
        """
        names = [upstream.name for upstream in self.upstreams]
        if len(names) != len(set(names)):
            raise ValueError("upstream names are not unique")
        return self
