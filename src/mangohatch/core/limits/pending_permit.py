"""A request that waits for a permit of its account."""

from collections.abc import Callable
from dataclasses import dataclass

from mangohatch.errors import RequestError

__all__ = ["DeliverPermit", "PendingPermit"]

# Called with the time at which the permit was asked for, or with the refusal.
DeliverPermit = Callable[[float | RequestError], None]


@dataclass(slots=True, kw_only=True, eq=False)
class PendingPermit:
    """A request that waits for a permit until ``until_ms``, unless it has ended."""

    until_ms: float
    deliver: DeliverPermit
    ended: bool = False
