"""Table of the configuration objects of this host."""

from collections.abc import Iterable, Sequence

import structlog
import xxhash

from mangohatch.core.tables import Tables
from mangohatch.peer.messages.config import ConfigItem
from mangohatch.state.effects import (
    LEAVING_KIND,
    ItemEffect,
    LeavingEffect,
    ServiceEffect,
)
from mangohatch.state.items import (
    SERVICE_KIND,
    ConfigRejected,
    item_key,
    to_config_item,
)
from mangohatch.store.base import UNNAMED, Listing
from mangohatch.timeline.recorder import Recorder

__all__ = ["ConfigTable"]

HASH_MASK = (1 << 63) - 1

log = structlog.get_logger()


class ConfigTable:
    """
    Objects by ``kind/name``, each at the newest revision received.

    The revision of an object never decreases, whichever source it comes from. A
    deleted object leaves a tombstone, so that an older copy cannot restore it. An
    invalid object is stored and distributed, but the previous valid object stays
    active.

    ``as_of`` is 0 until this host has the complete configuration.

    :param tables: tables of the decision core
    :param recorder: time line that receives the events
    """

    leaving_type = LeavingEffect

    def __init__(self, *, tables: Tables, recorder: Recorder) -> None:
        self.items: dict[str, ConfigItem] = {}
        self.rejected: dict[str, ConfigRejected] = {}
        self.as_of = 0
        self.leaving = self.leaving_type(tables=tables, recorder=recorder)
        self._hash: int | None = None
        self._tables = tables
        self._effects: dict[str, ItemEffect] = {
            LEAVING_KIND: self.leaving,
            SERVICE_KIND: ServiceEffect(
                tables=tables, recorder=recorder, leaving=self.leaving
            ),
        }

    @property
    def revision(self) -> int:
        """Newest revision of any object read from the store, 0 when there is none."""
        revisions = (
            item.revision for item in self.items.values() if item.kind != LEAVING_KIND
        )
        return max(revisions, default=0)

    def revision_of(self, kind: str, name: str) -> int:
        """
        Return the revision of an object on this host.

        :param kind: kind of object
        :param name: name within the kind
        :return: the revision, 0 when the object is not in the table
        """
        item = self.items.get(item_key(kind, name))
        return item.revision if item else 0

    def apply(self, item: ConfigItem) -> bool:
        """
        Apply an object unless the table has the same or a newer revision.

        :param item: the object or its tombstone
        :return: whether the object was newer than the one in the table
        """
        key = item_key(item.kind, item.name)
        known = self.items.get(key)
        if known is not None and known.revision >= item.revision:
            return False
        self.items[key] = item
        self._hash = None
        self.rejected.pop(key, None)
        self._apply_effect(key, item)
        return True

    def apply_all(self, items: Iterable[ConfigItem]) -> list[ConfigItem]:
        """
        Apply several objects.

        :param items: objects and tombstones
        :return: the objects that were newer than those in the table
        """
        return [item for item in items if self.apply(item)]

    def apply_listing(self, kind: str, listing: Listing) -> list[ConfigItem]:
        """
        Apply a full listing of a kind; objects missing from it were deleted.

        A stale listing does not remove objects that are newer than the listing, and one
        with objects that can't be read does not remove those that they may be.

        :param kind: kind of object
        :param listing: all objects of the kind, with the revision of the read
        :return: objects and tombstones that were newer than those in the table
        """
        present = {stored.name for stored in listing.items} | listing.unreadable
        if UNNAMED in listing.unreadable:
            present |= {item.name for item in self.items.values() if item.kind == kind}
        fresh = [to_config_item(stored) for stored in listing.items]
        for item in list(self.items.values()):
            is_missing = item.kind == kind and item.name not in present
            if is_missing and not item.deleted and item.revision < listing.revision:
                fresh.append(
                    ConfigItem(
                        kind=kind,
                        name=item.name,
                        revision=listing.revision,
                        deleted=True,
                    )
                )
        return self.apply_all(fresh)

    def revisions(self) -> dict[str, int]:
        """
        Return the revision of every object, tombstones included.

        :return: revisions by ``kind/name``
        """
        return {key: item.revision for key, item in self.items.items()}

    def newer_than(self, revisions: dict[str, int]) -> Sequence[ConfigItem]:
        """
        Select the objects that another host lacks or has at an older revision.

        :param revisions: revisions of the other host by ``kind/name``
        :return: objects and tombstones to send
        """
        return [
            item
            for key, item in self.items.items()
            if item.revision > revisions.get(key, 0)
        ]

    def digest(self) -> int:
        """
        Hash all revisions; tables with equal revisions have equal hashes.

        :return: a 63-bit integer
        """
        if self._hash is None:
            lines = [f"{key}={rev}" for key, rev in sorted(self.revisions().items())]
            self._hash = xxhash.xxh3_64_intdigest("\n".join(lines).encode()) & HASH_MASK
        return self._hash

    def _apply_effect(self, key: str, item: ConfigItem) -> None:
        effect = self._effects.get(item.kind)
        if effect is None:
            return
        try:
            effect.apply_item(item)
        except ConfigRejected as exc:
            self.rejected[key] = exc
            log.warning("config_rejected", key=key, revision=item.revision)
