"""Messages for the votes on orders and their confirmation."""

from mangohatch.peer.messages.kinds import message

__all__ = ["OrderConfirm", "OrderConfirmed", "OrderPrepare", "OrderVote"]


@message
class OrderPrepare:
    """Asks a host whether it can apply the object of an order."""

    order_id: str = ""
    kind: str = ""
    name: str = ""
    base_revision: int = 0
    json: str = ""


@message
class OrderVote:
    """
    Answer to a prepare message.

    ``revision`` is the revision known to the voter, and ``code`` is a VoteCode value.
    """

    order_id: str = ""
    accepted: bool = False
    reason: str = ""
    revision: int = 0
    code: str = ""


@message
class OrderConfirm:
    """Asks a host to confirm that the revision is active."""

    order_id: str = ""
    kind: str = ""
    name: str = ""
    revision: int = 0


@message
class OrderConfirmed:
    """Reports the revision that is active for the object of the order."""

    order_id: str = ""
    revision: int = 0
