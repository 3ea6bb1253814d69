"""Rows of the active configuration."""

from collections.abc import Callable, Iterable

from mangohatch.admin.conditions import Row
from mangohatch.admin.sources.base import RowSource
from mangohatch.core.tables import Tables
from mangohatch.language import Subject

__all__ = ["ConfigSource"]


class ConfigSource(RowSource):
    """
    One row per service with its whole specification.

    :param tables: tables of the decision core
    :param order_of: returns the id of the order that wrote a service, empty when it
        is not known
    """

    subject = Subject.CONFIG

    def __init__(
        self, *, tables: Tables, order_of: Callable[[str], str] = lambda name: ""
    ) -> None:
        self._tables = tables
        self._order_of = order_of

    def rows(self, service: str) -> Iterable[Row]:
        for name, row in sorted(self._tables.services.items()):
            if service in ("", name):
                yield {
                    "service": name,
                    "revision": row.revision,
                    "order": self._order_of(name),
                    "config": row.spec.model_dump(mode="json"),
                }
