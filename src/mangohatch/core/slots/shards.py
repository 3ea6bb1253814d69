"""Assignment of upstreams to shards and of shards to brokers."""

from collections.abc import Sequence

import xxhash

from mangohatch.core.tables import ServiceRow, UpstreamRow
from mangohatch.peer.bus import MemberView

__all__ = ["SHARD_UPSTREAMS", "ShardMap", "list_shards", "shard_rows", "split_shard"]

SHARD_UPSTREAMS = 64
SEPARATOR = "#"


def rank(*words: str) -> int:
    """
    Hash words for rendezvous hashing.

    :param words: parts of the key
    :return: 64 bits
    """
    return xxhash.xxh3_64_intdigest("/".join(words).encode())


def split_shard(shard: str) -> tuple[str, int]:
    """
    Take the name of a shard apart.

    :param shard: name of a shard
    :return: name of the service and number of the shard
    """
    service, _, number = shard.partition(SEPARATOR)
    return service, int(number or 0)


class ShardMap:
    """
    Shards of a service and the live member that brokers each.

    A service of up to :data:`SHARD_UPSTREAMS` upstreams is one shard. A larger
    one is split by upstream name, so that each shard has upstreams of all zones.
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
        if members == self._members:
            return False
        self._members = tuple(members)
        self._brokers.clear()
        return True

    def broker(self, shard: str) -> str:
        """
        Find the broker of a shard.

        :param shard: name of the shard
        :return: its host id; this host when no member is known
        """
        found = self._brokers.get(shard)
        if found is None:
            found = self._choose(shard)
            self._brokers[shard] = found
        return found

    def _choose(self, shard: str) -> str:
        staying = [view for view in self._members if not view.leaving]
        if not staying:
            return self._host_id
        return max(staying, key=lambda view: rank(shard, view.host_id)).host_id

    def home(self, service: ServiceRow) -> str:
        """
        Find the shard that this host uses first.

        :param service: the service
        :return: name of the shard
        """
        name = service.spec.name
        count = len(service.upstreams)
        if count <= SHARD_UPSTREAMS:
            return name
        home = self._homes.get((name, count))
        if home is None:
            number = rank(name, self._host_id) % count_shards(service)
            home = f"{name}{SEPARATOR}{number}"
            self._homes[name, count] = home
        return home

    def next(self, service: ServiceRow, shard: str) -> str:
        """
        Find the shard to turn to when one has no slot.

        :param service: the service
        :param shard: name of a shard
        :return: name of the following shard, the same when there is only one
        """
        count = count_shards(service)
        if count == 1:
            return shard
        number = split_shard(shard)[1]
        return f"{service.spec.name}{SEPARATOR}{(number + 1) % count}"


def count_shards(service: ServiceRow) -> int:
    """
    Count the shards of a service.

    :param service: the service
    :return: at least 1
    """
    return max(1, -(-len(service.upstreams) // SHARD_UPSTREAMS))


def list_shards(service: ServiceRow) -> list[str]:
    """
    List the shards of a service.

    :param service: the service
    :return: names of its shards
    """
    name = service.spec.name
    count = count_shards(service)
    if count == 1:
        return [name]
    return [f"{name}{SEPARATOR}{number}" for number in range(count)]


def shard_rows(service: ServiceRow, shard: str) -> list[UpstreamRow]:
    """
    List the upstreams of a shard.

    :param service: the service
    :param shard: name of the shard
    :return: rows in the order of declaration
    """
    count = count_shards(service)
    rows = list(service.upstreams.values())
    if count == 1:
        return rows
    number = split_shard(shard)[1]
    ordered = sorted(rows, key=lambda row: rank(service.spec.name, row.name))
    return ordered[number::count]
