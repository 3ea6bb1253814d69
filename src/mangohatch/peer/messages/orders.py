"""Messages of the votes on orders."""

from mangohatch.peer.messages.kinds import message

__all__ = ["OrderConfirm", "OrderConfirmed", "OrderPrepare", "OrderVote"]


@message
class OrderPrepare:
    """Asks a host whether it can put the object in force."""

    order_id: str = ""
    kind: str = ""
    name: str = ""
    base_revision: int = 0
    json: str = ""


@message
class OrderVote:
    """
    Answer to a prepare; ``revision`` is the one known to the voter.

    ``code`` is a VoteCode value.
    """

    order_id: str = ""
    accepted: bool = False
    reason: str = ""
    revision: int = 0
    code: str = ""


@message
class OrderConfirm:
    """Asks a host to confirm that the revision is in force."""

    order_id: str = ""
    kind: str = ""
    name: str = ""
    revision: int = 0


@message
class OrderConfirmed:
    """States the revision in force for the order."""

    order_id: str = ""
    revision: int = 0
