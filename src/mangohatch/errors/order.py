"""Failures of operators' orders; nothing was written where one is refused."""

from typing import ClassVar

from mangohatch.errors.base import ExitCode, MangohatchError

__all__ = [
    "OrderConflict",
    "OrderError",
    "OrderInvalid",
    "OrderPending",
    "OrderStoreUnavailable",
    "OrderUnsupported",
    "OrderVotedDown",
    "OrderVotesMissing",
]


class OrderError(MangohatchError):
    """An order was refused."""

    code: ClassVar[str] = "order_refused"
    exit_code = ExitCode.REFUSED


class OrderInvalid(OrderError):
    """The order names something unknown, or its result is not a valid service."""

    code = "order_invalid"


class OrderConflict(OrderError):
    """Another change of the same object came first."""

    code = "order_conflict"


class OrderVotedDown(OrderError):
    """A host cannot put the order in force."""

    code = "order_voted_down"


class OrderVotesMissing(OrderError):
    """A host that must confirm the order did not answer."""

    code = "order_votes_missing"


class OrderStoreUnavailable(OrderError):
    """The store gives no answer, so no order can be taken."""

    code = "order_store_unavailable"
    exit_code = ExitCode.UNREACHABLE


class OrderUnsupported(OrderError):
    """This host takes no such order."""

    code = "order_unsupported"


class OrderPending(OrderError):
    """The order is not known to be in force everywhere yet."""

    code = "order_pending"
    exit_code = ExitCode.FAILURE
