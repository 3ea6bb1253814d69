"""Rendezvous hashing."""

import xxhash

__all__ = ["rendezvous_hash"]


def rendezvous_hash(*key_parts: str) -> int:
    """
    Hash the parts of a key for rendezvous hashing.

    For a choice among members, the caller hashes each of them together with the key
    and selects the member with the lowest or the highest hash.

    :param key_parts: parts to hash, such as the key and the id of a member
    :return: hash of 64 bits
    """
    return xxhash.xxh3_64_intdigest("/".join(key_parts).encode())
