"""A part of the directory: all items of one kind, as of one revision of the store."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

__all__ = ["DirectoryPart", "PartItem", "compute_digest"]


@dataclass(slots=True, kw_only=True, frozen=True)
class PartItem:
    """
    An object of the store, reduced to the content that this program uses.

    ``revision`` is the revision of the last change to that content.
    """

    name: str
    revision: int
    json: str


@dataclass(slots=True, kw_only=True)
class DirectoryPart:
    """
    This host's copy of all objects of one kind.

    ``revision`` is the revision of the store at the latest reading; ``read_ms`` is the
    time of that reading on the monotonic clock of this host, in milliseconds.
    """

    name: str
    revision: int = 0
    read_ms: float = 0.0
    digest: int = 0
    items: dict[str, PartItem] = field(default_factory=dict)

    @property
    def known(self) -> bool:
        """Whether this host has received the part at least once."""
        return self.revision > 0

    def update(
        self, items: Sequence[PartItem], *, revision: int, read_ms: float
    ) -> bool:
        """
        Replace the content by that of a complete reading.

        A reading of an older revision is ignored; one of the same revision only
        updates the time of the reading.

        :param items: all objects of the kind
        :param revision: revision of the store at the reading
        :param read_ms: time of the reading in milliseconds
        :return: whether the content has changed
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
        Record that a later reading had the same content.

        :param revision: revision of the store at that reading
        :param read_ms: time of that reading in milliseconds
        """
        self.revision = max(self.revision, revision)
        self.read_ms = max(self.read_ms, read_ms)


def compute_digest(items: Sequence[PartItem]) -> int:
    """
    Compute a digest of the content of a part.

    :param items: items of the part, in any order
    :return: digest of 63 bits, the same for the same content
    """
    texts = sorted(f"{item.name}\n{item.json}" for item in items)
    return xxhash.xxh3_64_intdigest("\n".join(texts).encode()) >> 1
