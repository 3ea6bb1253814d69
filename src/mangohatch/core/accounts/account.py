"""A client account, and the digests of keys."""

import hashlib
from dataclasses import dataclass

__all__ = ["Account", "digest_key"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Account:
    """
    A client account.

    ``key_digests`` holds the SHA-256 digests of its keys. Calls of accounts with a
    lower ``priority`` go first. All hosts together run ``per_s`` requests a second for
    it, and ``burst`` at once; there is no limit if ``per_s`` is 0. ``allowed_regions``
    is None where its requests may run in any region.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int = 0
    per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: frozenset[str] | None = None

    @property
    def limited(self) -> bool:
        """Whether the account has a limit of requests a second."""
        return self.per_s > 0.0

    def restrict(self, regions: frozenset[str] | None) -> frozenset[str] | None:
        """
        Apply the regions of the account to those of a route.

        :param regions: regions in which the route may run, None for all
        :return: regions in which a request of the account may run, None for all
        """
        if self.allowed_regions is None or regions is None:
            return regions if self.allowed_regions is None else self.allowed_regions
        return self.allowed_regions & regions


def digest_key(key: str) -> bytes:
    """
    Return the digest by which a key is stored and compared.

    :param key: the key
    :return: SHA-256 digest of its bytes
    """
    return hashlib.sha256(key.encode()).digest()
