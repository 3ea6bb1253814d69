"""Periods and bounds of the membership protocol."""

from dataclasses import dataclass

__all__ = ["MembershipSettings"]


@dataclass(slots=True, kw_only=True, frozen=True)
class MembershipSettings:
    """
    Periods and bounds of the membership protocol.

    :param probe_period_ms: time between probes of random members
    :param ack_timeout_ms: wait for a direct answer before others are asked to probe
    :param indirect_probes: number of members asked to probe on behalf of this one
    :param suspicion_max_ms: suspicion before death, where nobody else suspects
    :param suspicion_min_ms: suspicion before death, where several hosts suspect
    :param sync_period_ms: time between comparisons of whole tables
    :param join_period_ms: time between attempts to reach the seeds
    :param updates_per_message: changes that ride on one probe or answer
    :param tombstone_ms: time for which dead and departed members are remembered
    :param announce_dead_ms: time for which whole tables still name the dead
    :param stall_ms: gap between ticks that counts as a pause of this process
    :param same_zone_share: share of probes that stay within the availability zone
    """

    probe_period_ms: float = 500.0
    ack_timeout_ms: float = 150.0
    indirect_probes: int = 3
    suspicion_max_ms: float = 5000.0
    suspicion_min_ms: float = 2000.0
    sync_period_ms: float = 4000.0
    join_period_ms: float = 1000.0
    updates_per_message: int = 8
    tombstone_ms: float = 7_200_000.0
    announce_dead_ms: float = 60_000.0
    stall_ms: float = 400.0
    same_zone_share: float = 0.75
