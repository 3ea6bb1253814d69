"""Entities of orders."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["OrderRecord", "OrderState"]


class OrderState(StrEnum):
    """How far an order has come; the last two are final."""

    PREPARING = "preparing"
    WRITING = "writing"
    PENDING = "pending"
    ACCEPTED = "accepted"
    REFUSED = "refused"


FINAL = frozenset({OrderState.ACCEPTED, OrderState.REFUSED})


@dataclass(slots=True, kw_only=True)
class OrderRecord:
    """
    One order taken by this host.

    ``revision`` is that of the object once written; ``waiting_for`` names the hosts
    where it is not known to be in force.
    """

    order_id: str
    service: str
    state: OrderState = OrderState.PREPARING
    revision: int = 0
    code: str = ""
    reason: str = ""
    waiting_for: tuple[str, ...] = ()

    @property
    def final(self) -> bool:
        """
        Tell whether the state cannot change any more.

        :return: True for accepted and refused orders
        """
        return self.state in FINAL
