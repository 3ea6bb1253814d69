"""Leaseholder task that polls the platform's host list."""

import asyncio
import json

import structlog

from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.errors import StoreError
from mangohatch.peer.messages.config import ConfigItem
from mangohatch.state.config_table import ConfigTable
from mangohatch.state.distribution import Distribution
from mangohatch.state.effects import LEAVING_KIND, leaving_mark_name
from mangohatch.state.items import item_key
from mangohatch.state.leaseholder_task import LeaseholderTask
from mangohatch.store.host_list import HostList, HostListing, ListedState

__all__ = ["HostWatch"]

POLL_INTERVAL_MS = 1000.0
MARK_JSON = json.dumps({"cause": "host_list"})
MS_PER_S = 1000.0

log = structlog.get_logger()


class HostWatch(LeaseholderTask):
    """
    Marks the upstreams of leaving hosts while this host holds the watch lease.

    The version of the host list is the revision of a mark. An upstream keeps its
    mark while its host is missing from the list or the list cannot be read.

    :param host_list: client of the platform's host list
    :param tables: tables of the decision core
    :param table: configuration of this host
    :param distribution: pushes marks to other hosts
    """

    def __init__(
        self,
        *,
        host_list: HostList,
        tables: Tables,
        table: ConfigTable,
        distribution: Distribution,
    ) -> None:
        self._host_list = host_list
        self._tables = tables
        self._table = table
        self._distribution = distribution

    async def run(self, epoch: int) -> None:
        while True:
            try:
                listing = await self._host_list.read()
                fresh = self._table.apply_all(self._build_marks(listing))
                if fresh:
                    self._distribution.push_as_holder(fresh)
            except StoreError as exc:
                log.info("host_list_unread", code=exc.code)
            await asyncio.sleep(POLL_INTERVAL_MS / MS_PER_S)

    def _build_marks(self, listing: HostListing) -> list[ConfigItem]:
        states = {(host.address, host.port): host.state for host in listing.hosts}
        items = []
        for row in self._tables.upstreams():
            state = states.get((row.address, row.port))
            state = state or states.get((row.address, None))
            if state is not None and self._needs_update(row, state):
                items.append(make_mark(row, state, listing.version))
        return items

    def _needs_update(self, row: UpstreamRow, state: ListedState) -> bool:
        key = item_key(LEAVING_KIND, leaving_mark_name(row.service, row.name))
        known = self._table.items.get(key)
        marked = known is not None and not known.deleted
        return marked is not (state is ListedState.LEAVING)


def make_mark(row: UpstreamRow, state: ListedState, version: int) -> ConfigItem:
    """
    Build the mark of an upstream, or the tombstone of the mark.

    :param row: row of the upstream
    :param state: state of the upstream's host in the list
    :param version: version of the list, used as the revision
    :return: the object to apply and push
    """
    return ConfigItem(
        kind=LEAVING_KIND,
        name=leaving_mark_name(row.service, row.name),
        revision=version,
        json=MARK_JSON if state is ListedState.LEAVING else "",
        deleted=state is ListedState.LIVE,
    )
