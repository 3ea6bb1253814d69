"""Rows of services."""

from collections import Counter
from collections.abc import Iterable

from mangohatch.admin.conditions import Row
from mangohatch.admin.sources.base import RowSource
from mangohatch.core.tables import ServiceRow, Tables, UpstreamState
from mangohatch.language import Subject

__all__ = ["ServiceSource"]


class ServiceSource(RowSource):
    """One row per service, with the number of its upstreams in each state."""

    subject = Subject.SERVICES

    def __init__(self, *, tables: Tables) -> None:
        self._tables = tables

    def rows(self, service: str) -> Iterable[Row]:
        for name, row in sorted(self._tables.services.items()):
            if service in ("", name):
                yield make_row(row)


def make_row(row: ServiceRow) -> Row:
    """
    Make the row of a service.

    :param row: the service
    :return: values by column
    """
    states = Counter(upstream.state for upstream in row.upstreams.values())
    values: Row = {
        "service": row.spec.name,
        "path_prefix": row.spec.path_prefix,
        "revision": row.revision,
        "upstreams": len(row.upstreams),
        "in_flight": sum(upstream.in_flight for upstream in row.upstreams.values()),
        "deadline_ms": row.spec.deadline_ms,
    }
    values.update({str(state): states[state] for state in UpstreamState})
    return values
