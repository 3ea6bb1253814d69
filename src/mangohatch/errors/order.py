"""Errors of operators' orders; a refused order has written nothing."""

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
    """The same object was changed by another write first."""

    code = "order_conflict"


class OrderVotedDown(OrderError):
    """A host cannot apply the order and voted against it."""

    code = "order_voted_down"


class OrderVotesMissing(OrderError):
    """A host whose vote the order requires did not answer."""

    code = "order_votes_missing"


class OrderStoreUnavailable(OrderError):
    """The store does not answer, so no order can be accepted."""

    code = "order_store_unavailable"
    exit_code = ExitCode.UNREACHABLE


class OrderUnsupported(OrderError):
    """This host does not support orders of this kind."""

    code = "order_unsupported"


class OrderPending(OrderError):
    """It is not yet known whether the order is active on every host."""

    code = "order_pending"
    exit_code = ExitCode.FAILURE
