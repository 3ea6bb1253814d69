"""Rows of requests suspected of crashing upstreams."""

from collections.abc import Iterable

from mangohatch.admin.conditions import Row
from mangohatch.admin.sources.base import RowSource
from mangohatch.core.quarantine import QuarantineTable
from mangohatch.language import Subject

__all__ = ["QuarantineSource"]


class QuarantineSource(RowSource):
    """One row per suspected or quarantined request."""

    subject = Subject.QUARANTINE

    def __init__(self, *, table: QuarantineTable) -> None:
        self._table = table

    def rows(self, service: str) -> Iterable[Row]:
        for row in self._table.rows():
            if service in ("", row.service):
                yield {
                    "service": row.service,
                    "fingerprint": row.fingerprint,
                    "state": "quarantined" if row.quarantined else "suspected",
                    "crashes": row.crashes,
                    "upstreams": sorted(row.upstreams),
                }
