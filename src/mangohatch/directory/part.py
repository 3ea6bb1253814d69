"""A part of the directory: all items of one kind, as of one revision of the store."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

__all__ = ["DirectoryPart", "PartItem", "compute_digest"]

SEEN_READINGS = 32  # 16 s of readings twice a second


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
    time of that reading on the monotonic clock of this host, in milliseconds;
    ``reading`` is its random number, and ``seen`` holds those of the latest readings.
    ``origin`` names the process that made it, 0 if unknown, and ``origin_ms`` is when
    it began on the clock of that host.
    ``peer`` is the host that sent the content, empty if this host read it.
    """

    name: str
    revision: int = 0
    read_ms: float = 0.0
    digest: int = 0
    reading: int = 0
    origin: int = 0
    origin_ms: int = 0
    peer: str = ""
    items: dict[str, PartItem] = field(default_factory=dict)
    seen: deque[int] = field(default_factory=lambda: deque(maxlen=SEEN_READINGS))

    @property
    def known(self) -> bool:
        """Whether this host has received the part at least once."""
        return self.revision > 0

    def update(
        self,
        items: Sequence[PartItem],
        *,
        revision: int,
        read_ms: float,
        reading: int,
        origin: int = 0,
        origin_ms: int = 0,
        peer: str = "",
    ) -> bool:
        """
        Replace the content by that of a complete reading.

        A reading of an older revision is ignored; one of the same revision only
        updates the time of the reading.

        :param items: all objects of the kind
        :param revision: revision of the store at the reading
        :param read_ms: time of the reading in milliseconds
        :param reading: number of the reading
        :param origin: the process that made the reading, 0 if unknown
        :param origin_ms: its begin on the clock of that host in milliseconds
        :param peer: the host that sent the content, empty if this host read it
        :return: whether the content has changed
        """
        if revision < self.revision:
            return False
        if read_ms >= self.read_ms:
            self._set_reading(read_ms, reading, origin, origin_ms)
        else:
            self._record_seen(reading)
        changed = revision > self.revision
        self.revision = revision
        digest = compute_digest(items)
        if not changed or digest == self.digest:
            return False
        self.digest = digest
        self.peer = peer
        self.items = {item.name: item for item in items}
        return True

    def confirm(
        self,
        *,
        revision: int,
        read_ms: float,
        reading: int,
        refresh_ms: float,
        origin: int = 0,
        origin_ms: int = 0,
    ) -> bool:
        """
        Record that another reading had the same content.

        A mark that is delivered late makes its reading look younger than it is. So a
        reading that is known does not change its time again, and one that is hardly
        younger is not taken over. Of readings made at about the same time, all hosts
        take over that of the smallest origin, so that they agree on who has read.

        :param revision: revision of the store at that reading
        :param read_ms: time of that reading in milliseconds
        :param reading: number of that reading
        :param refresh_ms: minimum time in milliseconds by which it has to be younger
        :param origin: the process that made the reading, 0 if unknown
        :param origin_ms: its begin on the clock of that host in milliseconds
        :return: whether the reading was taken over
        """
        self.revision = max(self.revision, revision)
        if reading in self.seen:
            return False
        self.seen.append(reading)
        is_younger = read_ms >= self.read_ms + refresh_ms
        is_preferred = 0 < origin < self.origin and read_ms > self.read_ms - refresh_ms
        if not is_younger and not is_preferred:
            return False
        self._set_reading(read_ms, reading, origin, origin_ms)
        return True

    def _set_reading(
        self, read_ms: float, reading: int, origin: int, origin_ms: int
    ) -> None:
        self._record_seen(reading)
        self.read_ms = read_ms
        self.reading = reading
        self.origin = origin
        self.origin_ms = origin_ms

    def _record_seen(self, reading: int) -> None:
        if reading not in self.seen:
            self.seen.append(reading)


def compute_digest(items: Sequence[PartItem]) -> int:
    """
    Compute a digest of the content of a part.

    :param items: items of the part, in any order
    :return: digest of 63 bits, the same for the same content
    """
    texts = sorted(f"{item.name}\n{item.json}" for item in items)
    return xxhash.xxh3_64_intdigest("\n".join(texts).encode()) >> 1
