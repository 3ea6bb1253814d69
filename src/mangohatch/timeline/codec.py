"""JSON encoding of events, used between hosts and in replies to operators."""

import json
from dataclasses import asdict
from typing import Any

from mangohatch.timeline.event import Event, EventKind

__all__ = ["decode_event", "encode_event"]

DEFAULTS = {"time_ms": 0.0, "count": 0, "host": "", "zone": ""}


def encode_event(event: Event) -> str:
    """
    Encode an event; fields with an empty or zero value are omitted.

    :param event: the event
    :return: one line of JSON
    """
    fields = {name: value for name, value in asdict(event).items() if value}
    return json.dumps(fields, separators=(",", ":"))


def decode_event(text: str) -> Event:
    """
    Decode an event; unknown fields are ignored.

    :param text: JSON text produced by :func:`encode_event`
    :return: the event
    :raises ValueError: when the text is not a valid event
    """
    fields = json.loads(text)
    if not isinstance(fields, dict) or "kind" not in fields:
        raise ValueError(f"not an event: {text[:80]}")
    kind = EventKind(fields.pop("kind"))
    known = {name: fields[name] for name in Event.__slots__ if name in fields}
    values: dict[str, Any] = DEFAULTS | known
    return Event(kind=kind, **values)
