"""Behaviour of a stand-in upstream, which can be changed while it runs."""

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["Behaviour", "ReportMode"]


class ReportMode(StrEnum):
    """
    Accuracy of the health and load endpoints.

    ``LAGGING`` reports the state of ``report_lag_ms`` ago; ``LYING`` always reports
    no load and no drain.
    """

    TRUE = "true"
    LAGGING = "lagging"
    LYING = "lying"


class Behaviour(BaseModel):
    """Settings of one stand-in upstream."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    slots: int = Field(default=2, ge=1)
    connection_limit: int = Field(default=200, ge=1)
    queue_limit: int = Field(
        default=64, ge=0, description="requests beyond it are refused"
    )
    noise_factor: float = Field(default=1.0, ge=1, description="maximum slowdown")
    slow_factor: float = Field(default=1.0, gt=0, description="constant slowdown")
    cold_ms: float = Field(default=0.0, ge=0, description="duration of a cold start")
    cold_factor: float = Field(
        default=4.0, ge=1, description="initial slowdown when cold"
    )
    draining: bool = False
    drain_grace_ms: float = Field(
        default=2000.0, ge=0, description="accepts work this long into a drain"
    )
    fail_status: int = Field(default=0, description="fails requests with it; 0 for off")
    report_mode: ReportMode = ReportMode.TRUE
    report_lag_ms: float = Field(default=1000.0, ge=0)
    restart_ms: float = Field(
        default=1000.0, ge=0, description="downtime after a crash"
    )
    exit_on_crash: bool = Field(default=False, description="a crash ends the process")
    content_version: int = Field(default=1, description="part of every entity tag")
