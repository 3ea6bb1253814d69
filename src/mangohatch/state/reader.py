"""Reading of configuration from the store."""

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
    """A watch showed neither a change nor a sign of life in time."""

    code = "store_watch_silent"


class ConfigReader:
    """
    Reads the objects of kind ``service`` into the table.

    :param store: the store
    :param table: configuration of this host
    """

    def __init__(self, *, store: ObjectStore, table: ConfigTable) -> None:
        self._store = store
        self._table = table

    async def read(self) -> tuple[int, list[ConfigItem]]:
        """
        Read everything once; the answer may be stale.

        :return: revision of the answer and the objects that were new
        :raises StoreError: when the store gives no answer
        """
        listing = await self._store.list(SERVICE_KIND)
        return listing.revision, self._table.apply_listing(SERVICE_KIND, listing)

    async def follow(
        self, since: int, silence_ms: float
    ) -> AsyncIterator[list[ConfigItem]]:
        """
        Follow changes.

        :param since: revision of a read
        :param silence_ms: silence after which the watch is given up
        :return: objects that were new; an empty list for a sign of life
        :raises StoreError: when the watch breaks or falls silent
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

    :param iterator: the watch
    :param silence_ms: time to wait at most
    :return: the event
    :raises WatchSilent: when none comes in time
    :raises StoreError: when the watch breaks
    """
    try:
        async with asyncio.timeout(silence_ms / MS_PER_S):
            return await anext(iterator)
    except TimeoutError as exc:
        raise WatchSilent(f"no sign of life for {silence_ms:.0f} ms") from exc
    except StopAsyncIteration as exc:
        raise StoreUnavailable("the watch ended") from exc
