"""Models of the settings of replicated configuration and of claims."""

from pydantic import Field, model_validator

from mangohatch.config.service import StrictModel

__all__ = ["ClaimSettings", "StateSettings"]


class StateSettings(StrictModel):
    """Times and limits of the active configuration, the watch lease and its holder."""

    lease_ms: float = Field(default=2000.0, gt=0, description="duration of the lease")
    renewal_ms: float = Field(default=500.0, gt=0, description="time between renewals")
    heartbeat_ms: float = Field(
        default=400.0, gt=0, description="time between heartbeats of the holder"
    )
    suspicion_ms: float = Field(
        default=1200.0,
        gt=0,
        description="silence after which the holder is suspected to have failed",
    )
    rank_delay_ms: float = Field(
        default=600.0,
        ge=0,
        description="added to suspicion_ms for each host that ranks before this one",
    )
    retry_limit_ms: float = Field(
        default=15_000.0, gt=0, description="maximum backoff during a store outage"
    )
    watch_silence_ms: float = Field(
        default=2500.0, gt=0, description="silence after which a watch is reopened"
    )
    relist_ms: float = Field(
        default=30_000.0, gt=0, description="time between full reads by the holder"
    )
    digest_ms: float = Field(
        default=1000.0, gt=0, description="time between digests to a random peer"
    )
    join_wait_ms: float = Field(
        default=1500.0, gt=0, description="time to wait for store and peers at start"
    )
    relay_above: int = Field(
        default=32,
        ge=1,
        description="number of hosts above which pushes are relayed, not broadcast",
    )
    fanout: int = Field(
        default=8, ge=1, description="random recipients of a relayed push"
    )
    store_calls_per_second: float = Field(
        default=20.0,
        gt=0,
        description="budget of this host's store calls for configuration",
    )
    store_timeout_ms: float = Field(default=1000.0, gt=0)

    @model_validator(mode="after")
    def check_times(self) -> "StateSettings":
        """
        Check that a holder can renew its lease and that standbys receive its heartbeats
        in time.

        :return: the model itself
        :raises ValueError: when two renewals do not fit into the lease or two
            heartbeats do not fit into the suspicion time
        """
        if 2 * self.renewal_ms > self.lease_ms:
            raise ValueError("renewal_ms is more than half of lease_ms")
        if 2 * self.heartbeat_ms > self.suspicion_ms:
            raise ValueError("heartbeat_ms is more than half of suspicion_ms")
        return self


class ClaimSettings(StrictModel):
    """Times and limits of the registry of keyed requests."""

    calls_per_second: float = Field(
        default=60.0, gt=0, description="budget of this host's store calls for claims"
    )
    timeout_ms: float = Field(
        default=400.0, gt=0, description="time limit of one store call"
    )
    retry_after_ms: float = Field(default=1000.0, gt=0)
    body_bytes: int = Field(
        default=65_536, ge=0, description="largest response body that is stored"
    )
    pending_results: int = Field(
        default=2000,
        ge=1,
        description="maximum number of results waiting to be written",
    )
    retention_ms: float = Field(
        default=86_400_000.0,
        gt=0,
        description="age after which ended claims are deleted",
    )
    sweep_ms: float = Field(
        default=10_000.0,
        gt=0,
        description="time between sweeps; each sweep covers one shard",
    )
    sweep_calls_per_second: float = Field(
        default=30.0, gt=0, description="budget of the sweeping host's store calls"
    )
    sweep_deletes: int = Field(
        default=200, ge=1, description="maximum number of deletes in one sweep"
    )
