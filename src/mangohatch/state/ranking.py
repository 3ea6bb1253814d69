"""Order in which standby hosts contest the lease."""

from collections.abc import Iterable

import xxhash

__all__ = ["rank_hosts"]


def rank_hosts(hosts: Iterable[str]) -> list[str]:
    """
    Order hosts by rendezvous hashing; every host computes the same order.

    :param hosts: host ids
    :return: host ids; the first may contest the lease first
    """

    def weight(host_id: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(host_id.encode()), host_id

    return sorted(hosts, key=weight)
