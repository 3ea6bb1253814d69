"""The configuration in force on this host, object by object."""

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
from mangohatch.store.base import Listing
from mangohatch.timeline.recorder import Recorder

__all__ = ["ConfigTable"]

HASH_MASK = (1 << 63) - 1

log = structlog.get_logger()


class ConfigTable:
    """
    Objects by ``kind/name``, each at the newest revision seen.

    Revisions only grow, whatever the source. A deleted object leaves a tombstone,
    so that an older copy cannot bring it back. An object that is not valid is kept
    and passed on, but the one before it stays in force.

    ``as_of`` is 0 until this host knows the whole configuration.

    :param tables: tables of the decision core
    :param recorder: the time line
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
        """The newest revision of any object of the store, 0 when there is none."""
        revisions = (
            item.revision for item in self.items.values() if item.kind != LEAVING_KIND
        )
        return max(revisions, default=0)

    def revision_of(self, kind: str, name: str) -> int:
        """
        Tell which revision of an object this host has.

        :param kind: kind of object
        :param name: name within the kind
        :return: its revision, 0 when it is not known
        """
        item = self.items.get(item_key(kind, name))
        return item.revision if item else 0

    def apply(self, item: ConfigItem) -> bool:
        """
        Put an object in force unless a revision as new is known.

        :param item: the object or its tombstone
        :return: whether it was new
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
        Put several objects in force.

        :param items: the objects
        :return: those that were new
        """
        return [item for item in items if self.apply(item)]

    def apply_listing(self, kind: str, listing: Listing) -> list[ConfigItem]:
        """
        Take over a full read of a kind; objects missing from it were deleted.

        A stale listing removes nothing newer than itself.

        :param kind: kind of object
        :param listing: the objects as of its revision
        :return: objects and tombstones that were new
        """
        present = {stored.name for stored in listing.items}
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
        Collect the revision of every object, tombstones included.

        :return: revisions by ``kind/name``
        """
        return {key: item.revision for key, item in self.items.items()}

    def newer_than(self, revisions: dict[str, int]) -> Sequence[ConfigItem]:
        """
        Select the objects of which another host has an older revision or none.

        :param revisions: what the other host has
        :return: the objects
        """
        return [
            item
            for key, item in self.items.items()
            if item.revision > revisions.get(key, 0)
        ]

    def digest(self) -> int:
        """
        Hash all revisions; equal tables have equal hashes.

        :return: a number of 63 bits
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
