"""Reads the directory from the platform's store."""

import json
import re
from collections.abc import Mapping
from functools import lru_cache
from typing import Any

import structlog

from mangohatch.clock import Clock
from mangohatch.directory import DirectorySource, PartItem, PartReading
from mangohatch.errors import StoreRejected
from mangohatch.platform.accounts import replace_keys
from mangohatch.platform.documents import read_configuration
from mangohatch.platform.entries import normalize_upstream
from mangohatch.platform.json_text import decode_json
from mangohatch.platform.store import PlatformStore
from mangohatch.platform.values import DocumentError, describe, parse_version
from mangohatch.store import Listing, StoredObject

__all__ = ["CONFIGURATION", "EVACUATIONS", "UPSTREAMS", "PlatformSource"]

CONFIGURATION = "config"
CONFIGURATION_NAME = "main"
UPSTREAMS = "servers"
EVACUATIONS = "evacuations"
ZONE_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._\-]{0,127}")
MAX_LOGGED_VALUE = 200  # characters
EMPTY = "{}"

log = structlog.get_logger()


class PlatformSource(DirectorySource):
    """
    Reads the operators' configuration and the upstreams' entries from the store.

    :param store: the platform's store
    :param clock: source of the time of day
    :param evacuations: whether to read the evacuations of zones too
    :param follow_cold: whether cold upstreams are limited
    """

    def __init__(
        self,
        *,
        store: PlatformStore,
        clock: Clock,
        evacuations: bool = False,
        follow_cold: bool = False,
    ) -> None:
        self.parts = (CONFIGURATION, UPSTREAMS)
        if evacuations:
            self.parts += (EVACUATIONS,)
            self.watched = frozenset({EVACUATIONS})
        self._follow_cold = follow_cold
        self._store = store
        self._clock = clock
        self._logged_revisions: dict[str, int] = {}

    async def read(self, part: str, known: Mapping[str, PartItem]) -> PartReading:
        listing = await self._store.list(part)
        if part == CONFIGURATION:
            items = self._convert_configurations(listing, known)
        elif part == EVACUATIONS:
            items = [
                PartItem(name=item.name, revision=item.revision, json=EMPTY)
                for item in listing.items
                if self._is_zone(item)
            ]
        else:
            normalized = (self._normalize(item, known) for item in listing.items)
            items = [item for item in normalized if item is not None]
        created = {item.name: item.created for item in listing.items}
        return PartReading(
            items=items,
            revision=listing.revision,
            written={item.name: item.revision for item in listing.items},
            created={name: at for name, at in created.items() if at is not None},
            era=listing.era,
        )

    def _convert_configurations(
        self, listing: Listing, known: Mapping[str, PartItem]
    ) -> list[PartItem]:
        """
        Convert the configuration, or keep the one that is known if it is invalid.

        :raises StoreRejected: if it is invalid and none is known; a peer may know one
        """
        previous = known.get(CONFIGURATION_NAME)
        try:
            items = [
                self._convert_configuration(item, previous)
                for item in listing.items
                if item.name == CONFIGURATION_NAME
            ]
        except DocumentError:
            items = []
        else:
            if CONFIGURATION_NAME not in listing.unreadable:
                return items
        if previous is None:
            raise StoreRejected("the store holds no valid configuration")
        return [previous]

    def _convert_configuration(
        self, item: StoredObject, previous: PartItem | None
    ) -> PartItem:
        if previous is not None and is_same_version(previous, item):
            return previous
        try:
            text = encode_configuration(item.value)
            config = read_configuration(text, follow_cold=self._follow_cold)
        except DocumentError as exc:
            if self._is_news(f"{CONFIGURATION}/{item.name}", item.revision):
                log.error(
                    "configuration_unreadable", revision=item.revision, cause=str(exc)
                )
            raise
        if previous is not None and config.version < read_version(previous.json):
            # A store that came back from a copy; the operator writes it again.
            if self._is_news(f"{CONFIGURATION}/{item.name}", item.revision):
                log.warning(
                    "configuration_older",
                    version=config.version,
                    known=read_version(previous.json),
                    revision=item.revision,
                )
            return previous
        return PartItem(name=item.name, revision=item.revision, json=text)

    async def watch(self, part: str, revision: int) -> None:
        await self._store.watch(part, revision)

    def _is_zone(self, item: StoredObject) -> bool:
        """Return whether the name of an evacuation may be that of a zone."""
        if ZONE_PATTERN.fullmatch(item.name) is None:
            self._log_evacuation(item, "name", item.name, ZONE_PATTERN.pattern)
            return False
        if item.value != {}:
            # Its presence counts; operators would not expect traffic in the zone.
            self._log_evacuation(item, "content", item.value, EMPTY)
        return True

    def _log_evacuation(
        self, item: StoredObject, key: str, value: object, expected: str
    ) -> None:
        if not self._is_news(f"{EVACUATIONS}/{item.name}", item.revision):
            return
        log.warning(
            "evacuation_malformed",
            zone=item.name[:MAX_LOGGED_VALUE],
            revision=item.revision,
            key=key,
            value=describe(value),
            expected=expected,
        )

    def _is_news(self, name: str, revision: int) -> bool:
        if self._logged_revisions.get(name) == revision:
            return False
        self._logged_revisions[name] = revision
        return True

    def _normalize(
        self, item: StoredObject, known: Mapping[str, PartItem]
    ) -> PartItem | None:
        previous = known.get(item.name)
        try:
            text = normalize_upstream(
                item.value,
                wall_ms=self._clock.wall_ms(),
                previous_json=previous.json if previous else None,
                name=item.name,
                follow_cold=self._follow_cold,
            )
        except DocumentError as exc:
            self._log_unreadable(item, exc)
            return None
        if previous is not None and previous.json == text:
            return previous
        return PartItem(name=item.name, revision=item.revision, json=text)

    def _log_unreadable(self, item: StoredObject, exc: DocumentError) -> None:
        if not self._is_news(item.name, item.revision):
            return
        log.warning(
            "upstream_entry_unreadable",
            upstream=item.name,
            revision=item.revision,
            cause=str(exc),
        )


@lru_cache(maxsize=2)
def read_version(text: str) -> int:
    """
    Read the version of a configuration.

    :param text: the configuration as JSON, which has been checked
    :return: its version, -1 if a peer of an earlier release has sent none
    """
    try:
        return parse_version(decode_json(text).get("version"))
    except (DocumentError, AttributeError):
        return -1


def is_same_version(known: PartItem, item: StoredObject) -> bool:
    """
    Return whether the store still has the configuration that is known.

    A store that came back from a copy gives out revisions again.

    :param known: the configuration that is known
    :param item: the object of the store
    :return: whether revision and version are the same
    """
    if known.revision != item.revision or not isinstance(item.value, dict):
        return False
    try:
        return parse_version(item.value.get("version")) == read_version(known.json)
    except DocumentError:
        return False


def encode_configuration(value: Any) -> str:
    """
    Encode a configuration for hosts, without the keys of accounts.

    :param value: the decoded configuration
    :return: JSON for :func:`read_configuration`
    :raises DocumentError: if it is nested too deeply or not Unicode
    """
    try:
        document = replace_keys(value)
        json.dumps(document, ensure_ascii=False).encode()
        return json.dumps(document, separators=(",", ":"))
    except RecursionError:
        raise DocumentError(
            "the configuration is nested too deeply, expected a list of resources"
        ) from None
    except UnicodeEncodeError as exc:
        raise DocumentError(f"the configuration is not Unicode text: {exc}") from None
