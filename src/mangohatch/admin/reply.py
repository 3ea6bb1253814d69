"""Replies to operators, sent as JSON."""

from enum import StrEnum
from typing import Any

from pydantic import BaseModel, ConfigDict

__all__ = ["ErrorAnswer", "OrderAnswer", "Reply", "ReplyKind"]


class ReplyKind(StrEnum):
    """Type of the content of a reply."""

    ROWS = "rows"
    EVENTS = "events"
    ORDER = "order"
    ERROR = "error"


class AnswerModel(BaseModel):
    """Base of the reply models; unknown fields of later versions are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class OrderAnswer(AnswerModel):
    """State of an order."""

    order_id: str
    state: str
    service: str
    revision: int = 0
    code: str = ""
    reason: str = ""
    waiting_for: tuple[str, ...] = ()


class ErrorAnswer(AnswerModel):
    """
    Reason why a sentence was not executed.

    ``position`` is the index of the character at which the sentence is invalid.
    """

    code: str
    message: str
    position: int | None = None
    expected: tuple[str, ...] = ()


class Reply(AnswerModel):
    """
    Reply to one sentence.

    Each row names its host, age and source. ``silent_hosts`` did not answer in
    time, so their rows may be missing. ``truncated_hosts`` sent only part of their
    rows. ``offsets_ms`` maps a host to the lower and upper bound of its clock minus
    the clock of the replying host, in milliseconds.
    """

    sentence: str
    kind: ReplyKind
    columns: tuple[str, ...] = ()
    rows: tuple[dict[str, Any], ...] = ()
    notes: tuple[str, ...] = ()
    silent_hosts: tuple[str, ...] = ()
    truncated_hosts: tuple[str, ...] = ()
    offsets_ms: dict[str, tuple[float, float]] = {}
    order: OrderAnswer | None = None
    error: ErrorAnswer | None = None
