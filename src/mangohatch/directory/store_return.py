"""Notices that the store came back from an older copy."""

from collections.abc import Mapping
from dataclasses import replace

import structlog

from mangohatch.clock import Clock
from mangohatch.directory.part import DirectoryPart
from mangohatch.directory.settings import FollowerSettings
from mangohatch.directory.source import PartReading
from mangohatch.directory.version import (
    MAX_ERA,
    era_of,
    format_version,
    make_version,
    revision_of,
)

__all__ = ["ReadingOrder"]

MIN_READINGS = 3

log = structlog.get_logger()


class ReadingOrder:
    """
    Gives the readings of one part versions in the order in which the store made them.

    Answers the time after a store that was away and came back from a copy: it gives
    out revisions again that this host knows already, and all readings look older than
    what the fleet holds. A store that names its era says so at once. Otherwise a
    revision below a known one proves it, as the store answers with all that it has
    acknowledged; but one reading may be answered by a member of the store that is
    behind. So all readings of ``went_back_ms`` have to be lower, three at least, while
    no peer learns anything newer. The next era then begins; the mark of this reading
    is newer than all others, and the fleet follows it.

    ``returned_ms`` is when a reading of the latest era was first seen, in milliseconds.

    :param clock: source of time
    :param cfg: how long readings have to be lower
    """

    def __init__(self, *, clock: Clock, cfg: FollowerSettings) -> None:
        self._clock = clock
        self._cfg = cfg
        self.returned_ms = 0.0
        self._known = 0
        self._since_ms = 0.0
        self._count = 0

    def place(
        self, part: DirectoryPart, reading: PartReading, read_ms: float
    ) -> PartReading | None:
        """
        Replace the revisions of a reading by versions.

        :param part: the part, before the reading is applied
        :param reading: a reading by this host
        :param read_ms: time at which it began, in milliseconds
        :return: the reading, None if it is older than what is known
        """
        era = era_of(part.revision) if reading.era is None else reading.era
        if not part.known or make_version(era, reading.revision) >= part.revision:
            self._count = 0
            self.returned_ms = read_ms
            return set_era(reading, era)
        if reading.era is not None or not self._went_back(part, read_ms):
            return None
        era = era_of(part.revision) + 1
        log.warning(
            "store_went_back",
            part=part.name,
            revision=reading.revision,
            known=format_version(part.revision),
            for_ms=int(read_ms - self._since_ms),
            readings=self._count,
        )
        self._count = 0
        self.returned_ms = self._since_ms
        return set_era(reading, era)

    def _went_back(self, part: DirectoryPart, read_ms: float) -> bool:
        if not self._count or self._known != part.revision:
            # This reading may have begun before the newer content was written.
            self._known = part.revision
            self._since_ms = self._clock.now_ms()
            self._count = 1
            return False
        if read_ms < self._since_ms:
            return False
        self._count += 1
        long_enough = read_ms - self._since_ms >= self._cfg.went_back_ms
        has_room = era_of(part.revision) < MAX_ERA
        return has_room and long_enough and self._count >= MIN_READINGS


def set_era(reading: PartReading, era: int) -> PartReading:
    """
    Replace the revisions of a reading by versions of an era.

    :param reading: a reading with revisions of the store
    :param era: number of the era
    :return: the reading with versions
    """
    if not era:
        return reading
    return replace(
        reading,
        revision=make_version(era, reading.revision),
        written=set_eras(reading.written, era),
        created=set_eras(reading.created, era),
    )


def set_eras(revisions: Mapping[str, int], era: int) -> dict[str, int]:
    """
    Replace revisions by versions of an era.

    :param revisions: revisions of the store by name
    :param era: number of the era
    :return: versions by name
    """
    return {
        name: make_version(era, revision_of(revision))
        for name, revision in revisions.items()
    }
