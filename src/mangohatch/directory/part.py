"""One part of the directory: items of one kind as of one revision of the store."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

__all__ = ["DirectoryPart", "PartItem", "compute_digest"]


@dataclass(slots=True, kw_only=True, frozen=True)
class PartItem:
    """
    An object of the store, reduced to what this program uses of it.

    ``revision`` is that of the object's last change that mattered.
    """

    name: str
    revision: int
    json: str


@dataclass(slots=True, kw_only=True)
class DirectoryPart:
    """
    What this host knows of one kind of object.

    ``revision`` is the store's at the reading; ``read_ms`` is when the reading was
    true, on the monotonic clock of this host.
    """

    name: str
    revision: int = 0
    read_ms: float = 0.0
    digest: int = 0
    items: dict[str, PartItem] = field(default_factory=dict)

    @property
    def known(self) -> bool:
        """Whether it was ever read."""
        return self.revision > 0

    def update(
        self, items: Sequence[PartItem], *, revision: int, read_ms: float
    ) -> bool:
        """
        Take a whole reading; one that is not newer changes nothing.

        :param items: all objects of the kind
        :param revision: the store's revision at the reading
        :param read_ms: when the reading was true
        :return: whether the content changed
        """
        if revision < self.revision:
            return False
        self.read_ms = max(self.read_ms, read_ms)
        changed = revision > self.revision
        self.revision = revision
        digest = compute_digest(items)
        if not changed or (digest == self.digest and self.items):
            return False
        self.digest = digest
        self.items = {item.name: item for item in items}
        return True

    def confirm(self, *, revision: int, read_ms: float) -> None:
        """
        Take note that the content still held at a later reading.

        :param revision: the store's revision at that reading
        :param read_ms: when it was true
        """
        self.revision = max(self.revision, revision)
        self.read_ms = max(self.read_ms, read_ms)


def compute_digest(items: Sequence[PartItem]) -> int:
    """
    Stand in for the content of a part.

    :param items: its items in any order
    :return: 63 bits, equal for equal content
    """
    texts = sorted(f"{item.name}\n{item.json}" for item in items)
    return xxhash.xxh3_64_intdigest("\n".join(texts).encode()) >> 1
