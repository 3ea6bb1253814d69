"""Rows of the configuration in force."""

from collections.abc import Iterable

from mangohatch.admin.conditions import Row
from mangohatch.admin.sources.base import RowSource
from mangohatch.core.tables import Tables
from mangohatch.language import Subject

__all__ = ["ConfigSource"]


class ConfigSource(RowSource):
    """One row per service with its whole specification."""

    subject = Subject.CONFIG

    def __init__(self, *, tables: Tables) -> None:
        self._tables = tables

    def rows(self, service: str) -> Iterable[Row]:
        for name, row in sorted(self._tables.services.items()):
            if service in ("", name):
                yield {
                    "service": name,
                    "revision": row.revision,
                    "config": row.spec.model_dump(mode="json"),
                }
