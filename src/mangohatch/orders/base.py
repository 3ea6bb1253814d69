"""Interface through which operator sentences are carried out as orders."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from mangohatch.language import OrderSentence
from mangohatch.orders.record import OrderRecord

__all__ = ["OrderHandler"]


class OrderHandler(ABC):
    """Carries out orders and reports their states."""

    @abstractmethod
    async def submit(self, sentence: OrderSentence, *, order_id: str) -> OrderRecord:
        """
        Carry out an order and return its state after a bounded time.

        :param sentence: the parsed order
        :param order_id: id chosen by the client; a repeated id refers to the same
            order; empty to create a new one
        :return: the record: accepted, refused, or pending with the missing hosts
        """

    @abstractmethod
    def records(self) -> Sequence[OrderRecord]:
        """
        Return the latest orders submitted to this host.

        :return: order records, oldest first
        """
