"""Reads and watches of the configuration in the store."""

import asyncio
from collections.abc import AsyncIterator

from mangohatch.errors import StoreUnavailable
from mangohatch.peer.messages.config import ConfigItem
from mangohatch.state.config_table import ConfigTable
from mangohatch.state.items import SERVICE_KIND, to_config_item
from mangohatch.store.base import ObjectStore, WatchEvent

__all__ = ["ConfigReader", "WatchSilent"]

MS_PER_S = 1000.0


class WatchSilent(StoreUnavailable):
    """A watch delivered neither a change nor a keep-alive event in time."""

    code = "store_watch_silent"


class ConfigReader:
    """
    Reads the objects of kind ``service`` from the store into the configuration table.

    :param store: client of the object API
    :param table: configuration of this host
    """

    def __init__(self, *, store: ObjectStore, table: ConfigTable) -> None:
        self._store = store
        self._table = table

    async def read(self) -> tuple[int, list[ConfigItem]]:
        """
        Read all services once; the read may be stale.

        :return: revision of the read, and the objects that were new to the table
        :raises StoreError: the read failed
        """
        listing = await self._store.list(SERVICE_KIND)
        return listing.revision, self._table.apply_listing(SERVICE_KIND, listing)

    async def follow(
        self, since: int, silence_ms: float
    ) -> AsyncIterator[list[ConfigItem]]:
        """
        Watch the services and apply their changes to the table.

        :param since: revision of the read after which to watch
        :param silence_ms: milliseconds without an event after which the watch fails
        :return: objects that were new to the table; an empty list for a keep-alive
            event
        :raises StoreError: the watch broke, or delivered no event for ``silence_ms``
        """
        events = self._store.watch(SERVICE_KIND, since=since)
        iterator = events.__aiter__()
        try:
            while True:
                event = await next_event(iterator, silence_ms)
                yield self._apply(event)
        finally:
            close = getattr(iterator, "aclose", None)
            if close is not None:
                await close()

    def _apply(self, event: WatchEvent) -> list[ConfigItem]:
        if event.item is None:
            return []
        item = to_config_item(event.item)
        if event.deleted:
            item = ConfigItem(
                kind=item.kind, name=item.name, revision=event.revision, deleted=True
            )
        return self._table.apply_all([item])


async def next_event(
    iterator: AsyncIterator[WatchEvent], silence_ms: float
) -> WatchEvent:
    """
    Wait for the next event of a watch.

    :param iterator: events of the watch
    :param silence_ms: maximum wait in milliseconds
    :return: the event
    :raises WatchSilent: no event arrived in time
    :raises StoreError: the watch broke
    """
    try:
        async with asyncio.timeout(silence_ms / MS_PER_S):
            return await anext(iterator)
    except TimeoutError as exc:
        raise WatchSilent(
            f"the watch delivered no event for {silence_ms:.0f} ms"
        ) from exc
    except StopAsyncIteration as exc:
        raise StoreUnavailable("the watch ended") from exc
