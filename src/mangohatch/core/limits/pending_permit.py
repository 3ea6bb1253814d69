"""A request for a permit that its owner has not answered yet."""

from collections.abc import Callable
from dataclasses import dataclass

from mangohatch.core.accounts import Account
from mangohatch.errors import RequestError

__all__ = ["ANSWER_MS", "DeliverPermit", "PendingPermit"]

# A round trip between zones plus two event loop iterations; then the request is asked
# for again, as the message or its answer may be lost.
ANSWER_MS = 25.0

# Called with the time at which the permit was asked for, or with the refusal.
DeliverPermit = Callable[[float | RequestError], None]


@dataclass(slots=True, kw_only=True, eq=False)
class PendingPermit:
    """
    A request that waits for a permit until ``until_ms``.

    ``number`` identifies the last message to an owner, 0 once the request has ended,
    and ``asked_ms`` is when it was sent. An answer to an earlier message permits
    nothing, so that the age of a permit is known.
    """

    account: Account
    until_ms: float
    deliver: DeliverPermit
    number: int = 0
    asked_ms: float = 0.0
    repeat_ms: float = ANSWER_MS
