"""Queries for events and tables, and their answers."""

from dataclasses import field

from mangohatch.peer.messages.kinds import message

__all__ = ["EventBatch", "EventQuery", "StatusQuery", "StatusReply"]


@message
class EventQuery:
    """Requests events of the time line."""

    query_id: str = ""
    filter_json: str = ""
    limit: int = 0


@message
class EventBatch:
    """Events as JSON, oldest first, and the wall-clock time of the sender."""

    query_id: str = ""
    events: list[str] = field(default_factory=list)
    last: bool = False
    wall_ms: float = 0.0


@message
class StatusQuery:
    """Requests rows of a host's tables."""

    query_id: str = ""
    subject: str = ""
    filter_json: str = ""


@message
class StatusReply:
    """Rows as JSON, the age of their data, and whether rows were omitted."""

    query_id: str = ""
    rows: list[str] = field(default_factory=list)
    age_ms: int = 0
    truncated: bool = False
