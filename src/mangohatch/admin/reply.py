"""Answers to operators, as JSON on the wire."""

from enum import StrEnum
from typing import Any

from pydantic import BaseModel, ConfigDict

__all__ = ["ErrorAnswer", "OrderAnswer", "Reply", "ReplyKind"]


class ReplyKind(StrEnum):
    """Form of an answer."""

    ROWS = "rows"
    EVENTS = "events"
    ORDER = "order"
    ERROR = "error"


class AnswerModel(BaseModel):
    """Base of the answers; fields of later versions are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class OrderAnswer(AnswerModel):
    """What became of an order."""

    order_id: str
    state: str
    service: str
    revision: int = 0
    code: str = ""
    reason: str = ""
    waiting_for: tuple[str, ...] = ()


class ErrorAnswer(AnswerModel):
    """Why a sentence was not carried out; ``position`` is the wrong word's index."""

    code: str
    message: str
    position: int | None = None
    expected: tuple[str, ...] = ()


class Reply(AnswerModel):
    """
    Answer to one sentence.

    Each row names its host, age and source. ``silent_hosts`` did not answer in
    time, so that rows of theirs may be missing; ``truncated_hosts`` sent part.
    ``offsets_ms`` bounds by host its clock minus that of the host that answered.
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
