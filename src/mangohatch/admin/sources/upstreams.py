"""Rows of upstreams."""

from collections.abc import Iterable

from mangohatch.admin.conditions import Row
from mangohatch.admin.sources.base import RowSource
from mangohatch.core.tables import Tables
from mangohatch.language import Subject

__all__ = ["UpstreamSource"]


class UpstreamSource(RowSource):
    """One row per upstream; ``in_flight`` counts the requests of the host alone."""

    subject = Subject.UPSTREAMS

    def __init__(self, *, tables: Tables) -> None:
        self._tables = tables

    def rows(self, service: str) -> Iterable[Row]:
        for row in self._tables.upstreams():
            if service in ("", row.service):
                yield {
                    "service": row.service,
                    "upstream": row.name,
                    "state": str(row.state),
                    "zone": row.zone,
                    "address": row.address,
                    "port": row.port,
                    "slots": row.slots,
                    "in_flight": row.in_flight,
                }
