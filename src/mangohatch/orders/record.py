"""State of an order at the host that it was submitted to."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["OrderRecord", "OrderState"]


class OrderState(StrEnum):
    """Progress of an order; ``ACCEPTED`` and ``REFUSED`` are final."""

    PREPARING = "preparing"
    WRITING = "writing"
    PENDING = "pending"
    ACCEPTED = "accepted"
    REFUSED = "refused"


FINAL = frozenset({OrderState.ACCEPTED, OrderState.REFUSED})


@dataclass(slots=True, kw_only=True)
class OrderRecord:
    """
    One order submitted to this host.

    ``revision`` is the revision of the object that contains the change, 0 until it is
    known. ``waiting_for`` holds the ids of the required hosts that have not confirmed
    that the revision is active.
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
        Return whether the state can no longer change.

        :return: True for accepted and refused orders
        """
        return self.state in FINAL
