"""Evacuated zones and regions in the assignment of upstreams to hosts."""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

from mangohatch.core.subset_rows import ServiceSubsets

__all__ = ["SubsetPlaces"]


@dataclass(slots=True, kw_only=True, frozen=True)
class SubsetPlaces:
    """
    Zones that receive no requests, and the regions of zones.

    Upstreams in ``closed`` zones keep their users, so that they return at once, but do
    not count: the others get more users instead. Hosts in closed zones have no upstream
    nearby, so they rank as if they were in the zone of every upstream. Where
    ``regions`` are set, each host uses upstreams of every region.
    """

    closed: frozenset[str] = frozenset()
    regions: Mapping[str, str] = field(default_factory=dict)

    def is_near(self, upstream_zone: str | None, host_zone: str | None) -> bool:
        """
        Return whether a host counts as being in the zone of an upstream.

        :param upstream_zone: zone of the upstream, None if it is not known
        :param host_zone: zone of the host, None if it is not known
        :return: whether the zones are the same, or that of the host is closed
        """
        if upstream_zone is None:
            return False
        return upstream_zone == host_zone or host_zone in self.closed

    def count_open(self, subsets: ServiceSubsets) -> int:
        """
        Count the upstreams that may receive requests.

        :param subsets: a service with upstreams
        :return: number of upstreams outside closed zones, or of all if there is none
        """
        zones = subsets.zones
        count = sum(zones.get(name) not in self.closed for name in subsets.rankings)
        return count or len(subsets.rankings)

    def groups(self, subsets: ServiceSubsets) -> Iterator[Collection[str]]:
        """
        Group the upstreams of which a host needs some.

        :param subsets: a service
        :return: the upstreams outside closed zones, or of each region apart
        """
        zones = subsets.zones
        names = [
            name for name in subsets.rankings if zones.get(name) not in self.closed
        ]
        if not self.regions:
            yield names or subsets.rankings.keys()
            return
        by_region: dict[str | None, list[str]] = {}
        for name in names or subsets.rankings:
            region = self.regions.get(zones.get(name, ""))
            by_region.setdefault(region, []).append(name)
        yield from by_region.values()
