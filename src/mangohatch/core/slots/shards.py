"""Assignment of upstreams to shards and of shards to brokers."""

import functools
from collections.abc import Sequence
from dataclasses import dataclass

from mangohatch.core.tables import ServiceRow, UpstreamRow
from mangohatch.peer.bus import MemberView
from mangohatch.ranking import rank

__all__ = [
    "MAX_SHARD_UPSTREAMS",
    "ShardMap",
    "ShardName",
    "shard_rows",
    "parse_shard_name",
]

MAX_SHARD_UPSTREAMS = 64
MIN_SHARD_HOSTS = 3
SEPARATOR = "#"


@dataclass(slots=True, kw_only=True, frozen=True)
class ShardName:
    """The parts of a shard's name; a service that is not split has one shard."""

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
    Take the name of a shard apart.

    :param shard: name of a shard
    :return: its parts
    """
    service, *numbers = shard.split(SEPARATOR)
    if not numbers:
        return ShardName(service=service)
    number, count = numbers
    return ShardName(service=service, number=int(number), count=int(count))


class ShardMap:
    """
    Shards of a service and the live member that brokers each.

    A service of up to :data:`MAX_SHARD_UPSTREAMS` upstreams is one shard. A larger
    one is split by upstream name, so that each shard has upstreams of all zones,
    but never so far that a shard has fewer than :data:`MIN_SHARD_HOSTS` hosts.
    """

    def __init__(self, *, host_id: str) -> None:
        self._host_id = host_id
        self._members: Sequence[MemberView] = ()
        self._brokers: dict[str, str] = {}
        self._homes: dict[tuple[str, int], str] = {}

    def update(self, members: Sequence[MemberView]) -> bool:
        """
        Take the live members into account.

        :param members: members believed alive
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
        :return: its host id; this host when no member is known
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
        return max(candidates, key=lambda view: rank(shard, view.host_id)).host_id

    def home(self, service: ServiceRow) -> str:
        """
        Find the shard that this host uses; hosts are spread evenly.

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
        ordered = sorted(hosts, key=lambda host_id: rank(name, host_id))
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
        :return: names of its shards
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
    :return: rows in the order of declaration when there is one shard
    """
    parts = parse_shard_name(shard)
    rows = list(service.upstreams.values())
    if parts.count == 1:
        return rows
    rows.sort(key=lambda row: rank(service.spec.name, row.name))
    return rows[parts.number :: parts.count]
