"""The interface to the store that holds the directory."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from mangohatch.directory.part import PartItem

__all__ = ["DirectorySource", "PartReading"]


@dataclass(slots=True, kw_only=True, frozen=True)
class PartReading:
    """All items of a part, as of ``revision`` of the store."""

    items: Sequence[PartItem]
    revision: int


class DirectorySource(ABC):
    """Reads parts of the directory; ``parts`` names them."""

    parts: Sequence[str] = ()

    @abstractmethod
    async def read(self, part: str, known: Mapping[str, PartItem]) -> PartReading:
        """
        Read a part, never older than what the store has acknowledged.

        :param part: name of the part
        :param known: what this host knows of it; an item that has not changed in any
            way that matters is returned as it stands there
        :return: the reading
        :raises StoreError: when the store gives no answer
        """
