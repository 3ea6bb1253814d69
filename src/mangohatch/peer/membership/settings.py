"""Periods and limits of the membership protocol."""

import math
from dataclasses import dataclass

__all__ = ["MembershipSettings"]


@dataclass(slots=True, kw_only=True, frozen=True)
class MembershipSettings:
    """
    Periods and limits of the membership protocol; times are in milliseconds.

    :param probe_period_ms: time between probes of random members
    :param ack_timeout_ms: wait for a direct ack before indirect probes start
    :param indirect_probes: number of members that are asked for an indirect probe
    :param suspicion_max_ms: suspicion timeout when no other host suspects the member
    :param suspicion_min_ms: suspicion timeout when enough hosts suspect the member
    :param sync_period_ms: time between table comparisons with random members
    :param join_period_ms: time between attempts to join through the seeds
    :param updates_per_message: maximum number of updates piggybacked on a ping or ack
    :param tombstone_ms: time for which entries of dead and left members are kept
    :param announce_dead_ms: time for which full tables sent to others include members
        that are dead or have left
    :param stall_ms: gap between ticks above which this process counts as paused
    :param same_zone_share: share of probes that go to this host's availability zone
    :param concurrent_probes: maximum number of probes in progress; with more than one,
        the next starts at once when a direct ack is missing
    :param max_health_score: limit of the local health score
    :param seeds_per_attempt: number of seeds contacted in an attempt to join
    :param resync_ms: time between table comparisons while many members join; infinite
        for the sync period
    :param gossip_tables: whether to pass on by gossip what a table has added
    :param tables_per_period: maximum number of full tables sent in a join period
    :param isolation_ms: time without any message after which all members count as dead
    :param alert_fanout: number of random members that are told at once of a suspicion;
        0 leaves it, and its refutation, to gossip
    :param trust_deaths: whether a host adopts deaths that others have declared; if
        not, it suspects the member for at least half of the shortest timeout
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
    concurrent_probes: int = 1
    max_health_score: int = 8
    seeds_per_attempt: int = 3
    resync_ms: float = math.inf
    gossip_tables: bool = True
    tables_per_period: int = 1000
    isolation_ms: float = math.inf
    alert_fanout: int = 0
    trust_deaths: bool = True
