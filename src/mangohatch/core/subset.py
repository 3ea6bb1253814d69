"""The hosts that use each upstream, by rendezvous hashing over the live members."""

import heapq
import math
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Mapping, Sequence

from mangohatch.core.subset_places import SubsetPlaces
from mangohatch.core.subset_rows import (
    Ranked,
    ServiceSubsets,
    SubsetSettings,
    UpstreamRanking,
)
from mangohatch.peer.bus import MemberView
from mangohatch.ranking import rendezvous_hash

__all__ = ["SubsetSettings", "SubsetTable", "split_hosts"]

RankingChange = Callable[[ServiceSubsets, str, UpstreamRanking, Sequence[str]], None]


class SubsetTable:
    """
    Assigns upstreams to hosts; each host computes the same assignment by itself.

    Designed for sites with many hosts, where load reports and placements of every
    upstream for every host grow with the square of the number of hosts. The members are
    ranked by a hash for each upstream. The first ones use it, and the first of them
    owns it and sends its load probes. While member lists differ, a host may use an
    upstream that others do not expect it to use; its information is then older.

    Most users of an upstream are in its availability zone, as messages about it and
    its responses cost more between zones. The others take over when callers or
    upstreams are spread unequally over the zones.

    Hosts that are leaving own nothing and do not count towards the size of a subset,
    but are users up to their rank, because they complete requests.

    A join costs one hash for each upstream, as does a loss, and a new upstream costs
    one for each member.

    :param host_id: id of this host
    :param cfg: sizes of subsets
    """

    def __init__(self, *, host_id: str, cfg: SubsetSettings | None = None) -> None:
        self.host_id = host_id
        self.version = 0
        self._cfg = cfg or SubsetSettings()
        self._places = SubsetPlaces()
        self._leaving = {host_id: False}
        self._everyone = frozenset(self._leaving)
        self._live = 1
        self._host_zones: dict[str, str] = {}
        self._services: dict[str, ServiceSubsets] = {}

    @property
    def hosts(self) -> int:
        """Number of members that are not leaving."""
        return self._live

    def set_members(self, members: Iterable[MemberView]) -> None:
        """
        Replace the live members.

        :param members: all live members; this host is added if it is missing
        """
        members = tuple(members)
        leaving = {member.host_id: member.leaving for member in members}
        leaving.setdefault(self.host_id, False)
        zones = {member.host_id: member.zone for member in members}
        if leaving == self._leaving and zones == self._host_zones:
            return
        previous, self._leaving = self._leaving, leaving
        self._live = sum(not item for item in leaving.values())
        self._everyone = frozenset(leaving)
        moved = {
            host
            for host in leaving.keys() & previous.keys()
            if zones.get(host) != self._host_zones.get(host)
        }
        lost = sorted((previous.keys() - leaving.keys()) | moved)
        joined = sorted((leaving.keys() - previous.keys()) | moved)
        self._change_rankings(self._remove, lost)
        self._host_zones = zones
        for service in self._services.values():
            self._resize(service)
        self._change_rankings(self._insert, joined)
        self.version += 1

    def _change_rankings(self, change: RankingChange, hosts: Sequence[str]) -> None:
        for service in self._services.values():
            for name, ranking in service.rankings.items():
                change(service, name, ranking, hosts)

    def set_places(self, places: SubsetPlaces) -> bool:
        """
        Replace the zones that receive no requests, and the regions of zones.

        :param places: zones and regions
        :return: whether anything changed
        """
        if places == self._places:
            return False
        changed = places.closed ^ self._places.closed
        moved = sorted(
            host for host, zone in self._host_zones.items() if zone in changed
        )
        self._change_rankings(self._remove, moved)
        self._places = places
        for service in self._services.values():
            self._resize(service)
        self._change_rankings(self._insert, moved)
        self.version += 1
        return True

    def set_upstreams(
        self,
        service: str,
        names: Iterable[str],
        zones: Mapping[str, str] | None = None,
    ) -> None:
        """
        Replace the registered upstreams of a service.

        :param service: name of the service
        :param names: names of all its upstreams; none removes the service
        :param zones: availability zones by the name of the upstream, as far as known
        """
        wanted = list(dict.fromkeys(names))
        known = self._services.get(service)
        if known is not None and known.rankings.keys() == set(wanted):
            return
        if known is None and not wanted:
            return
        self.version += 1
        if not wanted:
            del self._services[service]
            return
        subsets = self._services.setdefault(service, ServiceSubsets())
        subsets.zones |= zones or {}
        rankings = subsets.rankings
        subsets.rankings = {
            name: rankings.get(name) or UpstreamRanking() for name in wanted
        }
        self._resize(subsets)
        for name, ranking in subsets.rankings.items():
            if not ranking.ranked:
                self._rank(subsets, name, ranking)

    def services(self) -> list[str]:
        """
        List the services with registered upstreams.

        :return: names of the services
        """
        return list(self._services)

    def users(self, service: str, upstream: str) -> frozenset[str]:
        """
        Return the hosts that use an upstream.

        :param service: name of the service
        :param upstream: name of the upstream, which may no longer be registered
        :return: ids of the hosts
        """
        subsets = self._services.get(service)
        if subsets is None:
            return self._everyone
        if subsets.size >= self._live:
            return self._everyone
        ranking = subsets.rankings.get(upstream)
        if ranking is None:
            ranking = UpstreamRanking()
            self._rank(subsets, upstream, ranking)
        if ranking.users is None:
            ranking.users = frozenset(self._prefix(subsets, upstream, ranking))
        return ranking.users

    def owner(self, service: str, upstream: str) -> str:
        """
        Return the host that sends the load probes of an upstream.

        :param service: name of the service
        :param upstream: name of a registered upstream
        :return: id of the host, empty if there is none
        """
        subsets = self._services.get(service)
        ranking = subsets.rankings.get(upstream) if subsets else None
        if subsets is None or ranking is None or not self._live:
            return ""
        self._refill(subsets, upstream, ranking)
        return next(host for _, host in ranking.ranked if not self._leaving[host])

    def assigned(self, service: str) -> frozenset[str]:
        """
        Return the upstreams of a service that this host uses.

        :param service: name of the service
        :return: names of the upstreams; not empty if upstreams are registered
        """
        subsets = self._services.get(service)
        if subsets is None:
            return frozenset()
        if subsets.assigned is None:
            subsets.assigned = self._assign(service, subsets)
        return subsets.assigned

    def audiences(self, service: str) -> tuple[frozenset[str], ...]:
        """
        Return the hosts that use any upstream of this host, in equal parts.

        :param service: name of the service
        :return: parts of at most ``audience_size`` hosts other than this one; one if
            there are no more members than that
        """
        subsets = self._services.get(service)
        if subsets is None:
            return (self._everyone,)
        if subsets.audiences is None:
            subsets.audiences = self._divide(service, subsets)
        return subsets.audiences

    def _divide(
        self, service: str, subsets: ServiceSubsets
    ) -> tuple[frozenset[str], ...]:
        size = self._cfg.audience_size
        if self._live <= size:
            return (self._everyone,)
        rivals: set[str] = set()
        for name in self.assigned(service):
            rivals |= self.users(service, name)
        rivals.discard(self.host_id)
        parts = max(1, math.ceil(len(rivals) / size))
        ordered = sorted(rivals)
        return tuple(frozenset(ordered[first::parts]) for first in range(parts))

    def _assign(self, service: str, subsets: ServiceSubsets) -> frozenset[str]:
        names = subsets.rankings
        if subsets.size >= self._live:
            return frozenset(names)
        assigned = {
            name
            for name, ranking in names.items()
            if self.host_id in self._prefix(subsets, name, ranking)
        }
        for group in self._places.groups(subsets):
            needed = min(len(group), self._cfg.min_upstreams)
            missing = needed - len(assigned.intersection(group))
            if missing > 0:
                assigned.update(
                    heapq.nsmallest(
                        missing,
                        set(group) - assigned,
                        key=lambda name: rendezvous_hash(self.host_id, name),
                    )
                )
        return frozenset(assigned)

    def _resize(self, subsets: ServiceSubsets) -> None:
        cfg = self._cfg
        upstreams = self._places.count_open(subsets)
        per_upstream = cfg.upstreams_per_host * self._live / upstreams
        subsets.size = min(self._live, max(cfg.min_users, math.ceil(per_upstream)))
        subsets.assigned = None
        subsets.audiences = None
        for ranking in subsets.rankings.values():
            ranking.users = None

    def _needed(self, subsets: ServiceSubsets) -> int:
        # If all hosts use an upstream, only its owner depends on the ranking.
        return subsets.size if subsets.size < self._live else min(1, self._live)

    def _rank(
        self, subsets: ServiceSubsets, name: str, ranking: UpstreamRanking
    ) -> None:
        leaving = len(self._leaving) - self._live
        ranking.ranked = heapq.nsmallest(
            self._needed(subsets) + self._cfg.spare + leaving,
            (self._position(subsets, name, host) for host in self._leaving),
        )

    def _position(self, subsets: ServiceSubsets, name: str, host: str) -> Ranked:
        """Compute the position of a host in the ranking; the lowest comes first."""
        position = rendezvous_hash(name, host)
        zone = subsets.zones.get(name)
        if self._places.is_near(zone, self._host_zones.get(host)):
            position //= self._cfg.zone_weight
        return position, host

    def _remove(
        self,
        subsets: ServiceSubsets,
        name: str,
        ranking: UpstreamRanking,
        lost: Sequence[str],
    ) -> None:
        ranked = ranking.ranked
        for host in lost:
            item = self._position(subsets, name, host)
            index = bisect_left(ranked, item)
            if index < len(ranked) and ranked[index] == item:
                del ranked[index]

    def _insert(
        self,
        subsets: ServiceSubsets,
        name: str,
        ranking: UpstreamRanking,
        joined: Sequence[str],
    ) -> None:
        ranked = ranking.ranked
        # A host behind the last one is inserted only by a new ranking, as hosts that
        # are not in the list may come before it.
        for host in joined:
            item = self._position(subsets, name, host)
            if ranked and item < ranked[-1]:
                insort(ranked, item)
        leaving = len(self._leaving) - self._live
        del ranked[self._needed(subsets) + 2 * self._cfg.spare + leaving :]

    def _refill(
        self, subsets: ServiceSubsets, name: str, ranking: UpstreamRanking
    ) -> None:
        live = sum(not self._leaving[host] for _, host in ranking.ranked)
        if live < self._needed(subsets):
            self._rank(subsets, name, ranking)

    def _prefix(
        self, subsets: ServiceSubsets, name: str, ranking: UpstreamRanking
    ) -> list[str]:
        self._refill(subsets, name, ranking)
        users = []
        live = 0
        for _, host in ranking.ranked:
            if live == subsets.size:
                break
            users.append(host)
            live += not self._leaving[host]
        return users


def split_hosts(hosts: frozenset[str], size: int) -> list[list[str]]:
    """
    Split hosts into parts that stay nearly the same when a host joins or is lost.

    :param hosts: ids of the hosts
    :param size: mean number of hosts of a part
    :return: parts in a fixed order, some of which may be empty
    """
    count = max(1, math.ceil(len(hosts) / size))
    parts: list[list[str]] = [[] for _ in range(count)]
    for host in sorted(hosts):
        parts[rendezvous_hash(host) % count].append(host)
    return parts
