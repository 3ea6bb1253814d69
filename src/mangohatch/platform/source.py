"""Reads the directory from the platform's store."""

import json
from collections.abc import Mapping, Sequence

import structlog

from mangohatch.clock import Clock
from mangohatch.directory import DirectorySource, PartItem, PartReading
from mangohatch.platform.accounts import replace_keys
from mangohatch.platform.documents import normalize_upstream
from mangohatch.platform.values import DocumentError
from mangohatch.store import ObjectReader, StoredObject

__all__ = ["CONFIGURATION", "UPSTREAMS", "PlatformSource"]

CONFIGURATION = "config"
CONFIGURATION_NAME = "main"
UPSTREAMS = "servers"

log = structlog.get_logger()


class PlatformSource(DirectorySource):
    """
    Reads the operators' configuration and the upstreams' entries from the store.

    :param store: the platform's store
    :param clock: source of the time of day
    """

    parts: Sequence[str] = (CONFIGURATION, UPSTREAMS)

    def __init__(self, *, store: ObjectReader, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._logged_revisions: dict[str, int] = {}

    async def read(self, part: str, known: Mapping[str, PartItem]) -> PartReading:
        listing = await self._store.list(part)
        if part == CONFIGURATION:
            items = [
                PartItem(
                    name=item.name,
                    revision=item.revision,
                    json=json.dumps(replace_keys(item.value), separators=(",", ":")),
                )
                for item in listing.items
                if item.name == CONFIGURATION_NAME
            ]
        else:
            normalized = (self._normalize(item, known) for item in listing.items)
            items = [item for item in normalized if item is not None]
        return PartReading(items=items, revision=listing.revision)

    def _normalize(
        self, item: StoredObject, known: Mapping[str, PartItem]
    ) -> PartItem | None:
        previous = known.get(item.name)
        try:
            text = normalize_upstream(
                item.value,
                wall_ms=self._clock.wall_ms(),
                previous_json=previous.json if previous else None,
            )
        except DocumentError as exc:
            self._log_unreadable(item, exc)
            return None
        if previous is not None and previous.json == text:
            return previous
        return PartItem(name=item.name, revision=item.revision, json=text)

    def _log_unreadable(self, item: StoredObject, exc: DocumentError) -> None:
        if self._logged_revisions.get(item.name) == item.revision:
            return
        self._logged_revisions[item.name] = item.revision
        log.warning(
            "upstream_entry_unreadable",
            upstream=item.name,
            revision=item.revision,
            cause=str(exc),
        )
