"""Rows of the orders that this host has received."""

from collections.abc import Iterable

from mangohatch.admin.conditions import Row
from mangohatch.admin.sources.base import RowSource
from mangohatch.language import Subject
from mangohatch.orders.base import OrderHandler

__all__ = ["OrderSource"]


class OrderSource(RowSource):
    """One row per order, the latest last."""

    subject = Subject.ORDERS

    def __init__(self, *, orders: OrderHandler) -> None:
        self._orders = orders

    def rows(self, service: str) -> Iterable[Row]:
        for record in self._orders.records():
            if service in ("", record.service):
                yield {
                    "order": record.order_id,
                    "state": str(record.state),
                    "service": record.service,
                    "revision": record.revision,
                    "code": record.code,
                    "reason": record.reason,
                    "waiting_for": list(record.waiting_for),
                }
