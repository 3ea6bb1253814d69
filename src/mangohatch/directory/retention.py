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
    items: most of those that are left were renewed in the gap and not created anew,
    and a missing item is gone, however many are.

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
            share = find_renewed_share(part.items, reading, self._gap_revision)
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


def find_renewed_share(
    items: Mapping[str, PartItem], reading: PartReading, since: int
) -> float:
    """
    Return the share of the items whose owners have renewed them without a break.

    :param items: items that were known
    :param reading: a reading after a gap
    :param since: version before the gap
    :return: the share of those that are left, 0 if none is; of all of them if the
        source does not know when items were created
    """
    renewed = {name for name in items if reading.written.get(name, 0) > since}
    if not reading.created:
        return len(renewed) / len(items)
    left = [name for name in items if name in reading.written]
    unbroken = [name for name in renewed if reading.created.get(name, since) <= since]
    return len(unbroken) / len(left) if left else 0.0
