"""Model of the settings of lasting and agreed state."""

from pydantic import Field, model_validator

from mangohatch.config.service import StrictModel

__all__ = ["ClaimSettings", "StateSettings"]


class StateSettings(StrictModel):
    """Times and bounds of configuration in force, the watch lease and its holder."""

    lease_ms: float = Field(default=2000.0, gt=0, description="length of the lease")
    renewal_ms: float = Field(default=500.0, gt=0, description="time between renewals")
    heartbeat_ms: float = Field(
        default=400.0, gt=0, description="time between heartbeats of the holder"
    )
    suspicion_ms: float = Field(
        default=1200.0, gt=0, description="silence after which a holder is suspected"
    )
    rank_delay_ms: float = Field(
        default=600.0, ge=0, description="added to the suspicion per rank"
    )
    retry_limit_ms: float = Field(
        default=15_000.0, gt=0, description="bound of the backoff in a store outage"
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
        default=1500.0, gt=0, description="wait for store and peers at start"
    )
    relay_above: int = Field(
        default=32, ge=1, description="fleet size above which pushes are relayed"
    )
    fanout: int = Field(default=8, ge=1, description="receivers of one relayed push")
    store_calls_per_second: float = Field(
        default=20.0, gt=0, description="budget of this host's configuration calls"
    )
    store_timeout_ms: float = Field(default=1000.0, gt=0)

    @model_validator(mode="after")
    def check_times(self) -> "StateSettings":
        """
        Check that a holder can keep its lease and that standbys can hear it.

        :return: the model itself
        :raises ValueError: when a time is too long for the one that it serves
        """
        if 2 * self.renewal_ms > self.lease_ms:
            raise ValueError("renewal_ms is more than half of lease_ms")
        if 2 * self.heartbeat_ms > self.suspicion_ms:
            raise ValueError("heartbeat_ms is more than half of suspicion_ms")
        return self


class ClaimSettings(StrictModel):
    """Bounds of the registry of keyed requests."""

    calls_per_second: float = Field(
        default=60.0, gt=0, description="budget of this host's store calls for claims"
    )
    timeout_ms: float = Field(default=400.0, gt=0, description="of one store call")
    retry_after_ms: float = Field(default=1000.0, gt=0)
    body_bytes: int = Field(
        default=65_536, ge=0, description="largest answer body that is kept"
    )
    pending_results: int = Field(
        default=2000, ge=1, description="results that wait to be written"
    )
    retention_ms: float = Field(
        default=86_400_000.0, gt=0, description="age at which ended claims are deleted"
    )
    sweep_ms: float = Field(
        default=10_000.0, gt=0, description="time between sweeps of one shard each"
    )
    sweep_calls_per_second: float = Field(
        default=30.0, gt=0, description="budget of the sweeping host's store calls"
    )
    sweep_deletes: int = Field(default=200, ge=1, description="deletes of one sweep")
