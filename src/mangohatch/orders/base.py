"""The interface between the operators' language and orders."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from mangohatch.language import OrderSentence
from mangohatch.orders.record import OrderRecord

__all__ = ["OrderHandler"]


class OrderHandler(ABC):
    """Takes orders and answers what became of them."""

    @abstractmethod
    async def submit(self, sentence: OrderSentence, *, order_id: str) -> OrderRecord:
        """
        Carry an order out, within a bounded time.

        :param sentence: the order
        :param order_id: id chosen by the caller; the same id is the same order;
            empty for a new one
        :return: accepted, refused, or pending with the hosts that are waited for
        """

    @abstractmethod
    def records(self) -> Sequence[OrderRecord]:
        """
        List the latest orders that this host took.

        :return: records, oldest first
        """
