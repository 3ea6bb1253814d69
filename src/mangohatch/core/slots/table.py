"""Tables that create rows on first access."""

from collections.abc import Callable
from typing import TypeVar

__all__ = ["ShardTable"]

T = TypeVar("T")


class ShardTable(dict[str, T]):
    """
    Rows by shard.

    :param make: creates the row of a shard from its name
    """

    def __init__(self, *, make: Callable[[str], T]) -> None:
        super().__init__()
        self._make = make

    def __missing__(self, shard: str) -> T:
        row = self[shard] = self._make(shard)
        return row
