"""Decides which items are kept although a reading lacks them."""

from collections.abc import Mapping

import structlog

from mangohatch.clock import Clock
from mangohatch.directory.part import DirectoryPart, PartItem
from mangohatch.directory.settings import FollowerSettings
from mangohatch.directory.source import PartReading
from mangohatch.directory.version import era_of

__all__ = ["ItemRetention"]

# Items are renewed more often than ``outage_ms``. A third may belong to owners that
# have died or do not reach the store.
RENEWED_SHARE = 2 / 3

log = structlog.get_logger()


class ItemRetention:
    """
    Keeps items that expired in an outage of the store until their owners return.

    Answers the time after a store that was away: the owners of expired items register
    again within two seconds, and without those items the load of the others would
    rise. A gap between two readings may also mean that this host stood still or that
    the store ignored the hosts that read it. Then it has served the owners of the
    items, most of which have renewed theirs meanwhile, and a missing item is gone.

    ``until_ms`` is the end of the time in which items are kept, in milliseconds.

    :param clock: source of time
    :param cfg: length of a gap, and for how long items are kept after it
    """

    def __init__(self, *, clock: Clock, cfg: FollowerSettings) -> None:
        self._clock = clock
        self._cfg = cfg
        self.until_ms = 0.0
        self._gap_ms = 0.0
        self._gap_revision = 0
        self._judged = True

    def record_gap(self, part: DirectoryPart, read_ms: float, *, revision: int) -> None:
        """
        Record a reading that is much younger than the one before it, or of a new era.

        Every host records it, because any of them may make the next reading.

        :param part: the part, before the reading is applied
        :param read_ms: time of the reading in milliseconds
        :param revision: version of the reading
        """
        if part.known and era_of(revision) > era_of(part.revision):
            # A peer may have needed some time to notice it.
            cfg = self._cfg
            self.record_return(self._clock.now_ms() - cfg.went_back_ms)
            return
        if not part.known or read_ms - part.read_ms <= self._cfg.outage_ms:
            return
        self.until_ms = self._clock.now_ms() + self._cfg.expired_retention_ms
        self._gap_ms = read_ms - part.read_ms
        self._gap_revision = part.revision
        self._judged = False

    def record_return(self, returned_ms: float) -> None:
        """
        Record that the store came back from a copy, which lacks the latest items.

        :param returned_ms: first time in milliseconds at which it was seen
        """
        kept_ms = self._cfg.expired_retention_ms - self._cfg.interval_ms
        self.until_ms = returned_ms + kept_ms
        self._judged = True

    def select(self, part: DirectoryPart, reading: PartReading) -> list[PartItem]:
        """
        Select the items to keep.

        :param part: the part, before the reading is applied
        :param reading: a reading by this host
        :return: items of the part that the reading lacks, none unless they may have
            expired in an outage
        """
        if self._clock.now_ms() >= self.until_ms:
            return []
        names = {item.name for item in reading.items}
        missing = [item for item in part.items.values() if item.name not in names]
        if not missing:
            return []
        if not self._judged:
            self._judged = True
            share = self._renewed_share(part.items, reading)
            kept = share < RENEWED_SHARE
            log.info(
                "missing_entries_judged",
                part=part.name,
                names=",".join(item.name for item in missing),
                gap_ms=int(self._gap_ms),
                renewed_share=round(share, 2),
                kept=kept,
            )
            if not kept:
                self.until_ms = 0.0
        return missing if self.until_ms else []

    def _renewed_share(
        self, items: Mapping[str, PartItem], reading: PartReading
    ) -> float:
        renewed = sum(
            reading.written.get(name, 0) > self._gap_revision for name in items
        )
        return renewed / len(items)
