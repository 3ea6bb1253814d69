"""What a stand-in upstream does, switchable while it runs."""

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["Behaviour", "ReportMode"]


class ReportMode(StrEnum):
    """How the health and load endpoints relate to the truth."""

    TRUE = "true"
    LAGGING = "lagging"
    LYING = "lying"


class Behaviour(BaseModel):
    """Settings of one stand-in upstream."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    slots: int = Field(default=2, ge=1)
    connection_limit: int = Field(default=200, ge=1)
    queue_limit: int = Field(default=64, ge=0, description="longer queues are shed")
    noise_factor: float = Field(default=1.0, ge=1, description="greatest slow-down")
    slow_factor: float = Field(default=1.0, gt=0, description="constant slow-down")
    cold_ms: float = Field(default=0.0, ge=0, description="duration of a cold start")
    cold_factor: float = Field(default=4.0, ge=1, description="slow-down while cold")
    draining: bool = False
    drain_grace_ms: float = Field(
        default=2000.0, ge=0, description="new work taken after a drain began"
    )
    fail_status: int = Field(default=0, description="fails at once with it; 0 never")
    report_mode: ReportMode = ReportMode.TRUE
    report_lag_ms: float = Field(default=1000.0, ge=0)
    restart_ms: float = Field(default=1000.0, ge=0, description="down after a crash")
    exit_on_crash: bool = Field(default=False, description="crashes end the process")
    content_version: int = Field(default=1, description="part of every entity tag")
