"""Rows of upstreams."""

from collections.abc import Callable, Iterable

from mangohatch.admin.conditions import Row
from mangohatch.admin.sources.base import RowSource
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.language import Subject

__all__ = ["UpstreamSource"]


class UpstreamSource(RowSource):
    """
    One row per upstream; ``in_flight`` counts only the requests of this host.

    :param tables: tables of the decision core
    :param state_of: returns the state of an upstream, including its health
    """

    subject = Subject.UPSTREAMS

    def __init__(
        self,
        *,
        tables: Tables,
        state_of: Callable[[UpstreamRow], str] = lambda row: row.state,
    ) -> None:
        self._tables = tables
        self._state_of = state_of

    def rows(self, service: str) -> Iterable[Row]:
        for row in self._tables.upstreams():
            if service in ("", row.service):
                yield {
                    "service": row.service,
                    "upstream": row.name,
                    "state": str(self._state_of(row)),
                    "zone": row.zone,
                    "address": row.address,
                    "port": row.port,
                    "slots": row.slots,
                    "in_flight": row.in_flight,
                }
