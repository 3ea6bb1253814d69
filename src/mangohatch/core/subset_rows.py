"""Sizes of subsets, and the rankings that they follow from."""

from dataclasses import dataclass, field

__all__ = ["Ranked", "ServiceSubsets", "SubsetSettings", "UpstreamRanking"]

Ranked = tuple[int, str]


@dataclass(slots=True, kw_only=True, frozen=True)
class SubsetSettings:
    """
    Sizes of subsets, in hosts or upstreams.

    An upstream is used by ``min_users`` hosts, or by more if hosts would otherwise use
    fewer than ``upstreams_per_host`` upstreams of its service on the mean. A host that
    is assigned fewer than ``min_upstreams`` uses additional ones. ``spare`` hosts are
    ranked beyond those that use an upstream. A host in the availability zone of an
    upstream is ``zone_weight`` times as likely to use it as any other. Hosts that share
    upstreams are told of waiting calls in parts of ``audience_size``.
    """

    min_users: int = 8  # losses of several leave a choice of hosts
    upstreams_per_host: int = 10  # a quarter may be slow, and some full
    min_upstreams: int = 4  # one may fail, one be slow
    spare: int = 8  # losses until an upstream is ranked again
    audience_size: int = 20
    zone_weight: int = 8


@dataclass(slots=True, kw_only=True)
class UpstreamRanking:
    """The first hosts in the ranking of an upstream, with the users derived from it."""

    ranked: list[Ranked] = field(default_factory=list)
    users: frozenset[str] | None = None


@dataclass(slots=True, kw_only=True)
class ServiceSubsets:
    """
    Rankings of the upstreams of a service, with the values derived from them.

    ``zones`` are those of all upstreams that were registered, by name.
    """

    size: int = 0
    zones: dict[str, str] = field(default_factory=dict)
    rankings: dict[str, UpstreamRanking] = field(default_factory=dict)
    assigned: frozenset[str] | None = None
    audiences: tuple[frozenset[str], ...] | None = None
