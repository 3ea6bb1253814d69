"""Assignment of upstreams to shards and of shards to brokers."""

import functools
from collections.abc import Sequence
from dataclasses import dataclass

from mangohatch.core.tables import ServiceRow, UpstreamRow
from mangohatch.peer.bus import MemberView
from mangohatch.ranking import rendezvous_hash

__all__ = [
    "MAX_SHARD_UPSTREAMS",
    "ShardMap",
    "ShardName",
    "parse_shard_name",
    "shard_rows",
]

MAX_SHARD_UPSTREAMS = 64
MIN_SHARD_HOSTS = 3
SEPARATOR = "#"


@dataclass(slots=True, kw_only=True, frozen=True)
class ShardName:
    """The parts of a shard name; a service that is not split has one shard."""

    service: str
    number: int = 0
    count: int = 1

    def __str__(self) -> str:
        if self.count == 1:
            return self.service
        return f"{self.service}{SEPARATOR}{self.number}{SEPARATOR}{self.count}"


@functools.lru_cache(maxsize=10_000)
def parse_shard_name(shard: str) -> ShardName:
    """
    Parse the name of a shard.

    :param shard: name of the shard
    :return: the parts of the name
    """
    service, *numbers = shard.split(SEPARATOR)
    if not numbers:
        return ShardName(service=service)
    number, count = numbers
    return ShardName(service=service, number=int(number), count=int(count))


class ShardMap:
    """
    Maps each service to its shards, and each shard to the live member brokering it.

    A service with at most :data:`MAX_SHARD_UPSTREAMS` upstreams is one shard. A
    larger service is split by upstream name, so that each shard has upstreams of
    all zones. The number of shards is limited so that each shard has at least
    :data:`MIN_SHARD_HOSTS` hosts.
    """

    def __init__(self, *, host_id: str) -> None:
        self._host_id = host_id
        self._members: Sequence[MemberView] = ()
        self._brokers: dict[str, str] = {}
        self._homes: dict[tuple[str, int], str] = {}

    def update(self, members: Sequence[MemberView]) -> bool:
        """
        Replace the list of live members.

        :param members: members considered alive
        :return: whether brokers may have changed
        """
        members = tuple(members)
        if members == self._members:
            return False
        self._members = members
        self._brokers.clear()
        self._homes.clear()
        return True

    def broker(self, shard: str) -> str:
        """
        Find the broker of a shard.

        :param shard: name of the shard
        :return: host id of the broker; this host if every known member is leaving
        """
        found = self._brokers.get(shard)
        if found is None:
            found = self._choose_broker(shard)
            self._brokers[shard] = found
        return found

    def _choose_broker(self, shard: str) -> str:
        candidates = [view for view in self._members if not view.leaving]
        if not candidates:
            return self._host_id
        return max(
            candidates, key=lambda view: rendezvous_hash(shard, view.host_id)
        ).host_id

    def home(self, service: ServiceRow) -> str:
        """
        Find the shard that this host uses.

        Hosts are distributed evenly over the shards.

        :param service: the service
        :return: name of the shard
        """
        upstreams = len(service.upstreams)
        if upstreams <= MAX_SHARD_UPSTREAMS:
            return service.spec.name
        key = (service.spec.name, upstreams)
        home = self._homes.get(key)
        if home is None:
            home = self._homes[key] = self._find_home(service)
        return home

    def _find_home(self, service: ServiceRow) -> str:
        name = service.spec.name
        hosts = {view.host_id for view in self._members} | {self._host_id}
        ordered = sorted(hosts, key=lambda host_id: rendezvous_hash(name, host_id))
        count = self._shard_count(service)
        number = ordered.index(self._host_id) % count
        return str(ShardName(service=name, number=number, count=count))

    def _shard_count(self, service: ServiceRow) -> int:
        wanted = -(-len(service.upstreams) // MAX_SHARD_UPSTREAMS)
        return max(1, min(wanted, len(self._members) // MIN_SHARD_HOSTS))

    def shards(self, service: ServiceRow) -> list[str]:
        """
        List the shards of a service.

        :param service: the service
        :return: names of the shards
        """
        name = service.spec.name
        count = self._shard_count(service)
        return [
            str(ShardName(service=name, number=number, count=count))
            for number in range(count)
        ]


def shard_rows(service: ServiceRow, shard: str) -> list[UpstreamRow]:
    """
    List the upstreams of a shard.

    :param service: the service
    :param shard: name of the shard
    :return: rows, in the order of declaration if the service has one shard
    """
    parts = parse_shard_name(shard)
    rows = list(service.upstreams.values())
    if parts.count == 1:
        return rows
    rows.sort(key=lambda row: rendezvous_hash(service.spec.name, row.name))
    return rows[parts.number :: parts.count]
