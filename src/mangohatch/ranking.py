"""Rendezvous hashing."""

import xxhash

__all__ = ["rendezvous_hash"]


def rendezvous_hash(*key_parts: str) -> int:
    """
    Hash words; the owner of a key is the member with the least hash.

    :param key_parts: parts of the key
    :return: 64 bits
    """
    return xxhash.xxh3_64_intdigest("/".join(key_parts).encode())
