"""Periods and limits of membership over datagrams."""

from mangohatch.peer.membership.settings import MembershipSettings

__all__ = ["DATAGRAM_MEMBERSHIP"]

# A fleet starts probing a host that has died after 0.2 s on the mean, suspects it
# after three ack timeouts, and drops it when the shortest suspicion has passed.
DATAGRAM_MEMBERSHIP = MembershipSettings(
    probe_period_ms=200.0,
    ack_timeout_ms=150.0,
    suspicion_max_ms=1_200.0,
    suspicion_min_ms=700.0,
    sync_period_ms=2_000.0,
    join_period_ms=250.0,
    stall_ms=600.0,
    same_zone_share=0.5,
    concurrent_probes=8,
    max_health_score=0,  # longer timeouts would delay the loss of many hosts
    seeds_per_attempt=3,
    resync_ms=150.0,
    gossip_tables=False,
    tables_per_period=16,
    isolation_ms=1_600.0,
    alert_fanout=8,
    trust_deaths=False,
)
