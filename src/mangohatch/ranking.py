"""Rendezvous hashing."""

import xxhash

__all__ = ["rank"]


def rank(*words: str) -> int:
    """
    Hash words; the owner of a key is the member with the least hash.

    :param words: parts of the key
    :return: 64 bits
    """
    return xxhash.xxh3_64_intdigest("/".join(words).encode())
