"""Interface to the store that holds the directory."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from mangohatch.directory.part import PartItem

__all__ = ["DirectorySource", "PartReading"]


@dataclass(slots=True, kw_only=True, frozen=True)
class PartReading:
    """
    All items of a part as of ``revision``, a revision of the store.

    ``written`` holds the revision at which each item was last written, by its name;
    an item that is renewed is written without a change of its content. ``created``
    holds that at which it came into being. Both lack items of which the source does not
    know it. ``era`` counts how often the store came back from an
    older copy, None if it does not say.
    """

    items: Sequence[PartItem]
    revision: int
    written: Mapping[str, int] = field(default_factory=dict)
    created: Mapping[str, int] = field(default_factory=dict)
    era: int | None = None


class DirectorySource(ABC):
    """
    Reads parts of the directory; ``parts`` lists their names.

    Changes of the ``watched`` parts can be waited for.
    """

    parts: Sequence[str] = ()
    watched: frozenset[str] = frozenset()

    @abstractmethod
    async def read(self, part: str, known: Mapping[str, PartItem]) -> PartReading:
        """
        Read a part with every write that the store acknowledged before the call.

        :param part: name of the part
        :param known: this host's current items by name; an item without a relevant
            change is returned as it is here
        :return: the reading
        :raises StoreError: if the store does not respond or rejects the call
        """

    async def watch(self, part: str, revision: int) -> None:
        """
        Wait until a part may have changed, or until the longest wait is over.

        :param part: name of one of the watched parts
        :param revision: revision of the store as of which the part is known
        :raises StoreError: if the store does not respond or rejects the call
        """
        raise NotImplementedError
