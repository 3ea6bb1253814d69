"""The ``events`` command."""

import sys
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter

from mangohatch.admin.client import query
from mangohatch.admin.reply import Reply, ReplyKind
from mangohatch.commands.answer import print_reply
from mangohatch.language import parse
from mangohatch.timeline.event import Event, EventKind
from mangohatch.timeline.render import RENDERERS, Timeline

__all__ = ["events"]


class EventFormat(StrEnum):
    """Output format of the time line."""

    TEXT = "text"
    JSON = "json"
    HTML = "html"


def events(
    *,
    host: str,
    request: str = "",
    upstream: str = "",
    service: str = "",
    of_host: str = "",
    kind: str = "",
    since: str = "",
    limit: int = 0,
    form: Annotated[EventFormat, Parameter(name="--format")] = EventFormat.TEXT,
    out: Path | None = None,
) -> None:
    """
    Print the events of all entry hosts in causal order.

    :param host: ADDRESS:PORT of the operator API of any entry host
    :param request: only events of the request with this id
    :param upstream: only events of this upstream
    :param service: only events of this service
    :param of_host: only events of this entry host
    :param kind: only events of this kind; the reference of events lists the kinds
    :param since: only events of at most this age, such as 30s, 5m or 2h
    :param limit: maximum number of events, the latest ones; 0 for the host's default
    :param form: output format
    :param out: file to write to instead of standard output
    """
    scopes = {
        "request": request,
        "upstream": upstream,
        "service": service,
        "host": of_host,
        "kind": kind,
    }
    sentence = build_events_sentence(scopes, since, limit)
    parse(sentence)
    reply = query(host, sentence)
    if reply.kind is not ReplyKind.EVENTS:
        sys.exit(print_reply(reply, json=False))
    text = RENDERERS[form].render(build_timeline(reply))
    if out is None:
        print(text, end="")
    else:
        out.write_text(text, encoding="utf-8")


def build_events_sentence(scopes: dict[str, str], since: str, limit: int) -> str:
    """
    Build the question for events.

    :param scopes: names by scope; empty names are omitted
    :param since: maximum age as a duration such as 30s; empty for no maximum
    :param limit: maximum number of events; 0 for the default of the host
    :return: a sentence of the operators' language
    """
    parts = ["show events"]
    parts += [f'of {scope} "{name}"' for scope, name in scopes.items() if name]
    if since:
        parts.append(f"since {since}")
    if limit:
        parts.append(f"limit {limit}")
    return " ".join(parts)


def build_timeline(reply: Reply) -> Timeline:
    """
    Build the time line from an answer.

    Events of unknown kinds, which hosts of a newer version may send, are omitted.

    :param reply: an answer that lists events
    :return: the time line
    """
    kinds = {kind.value for kind in EventKind}
    defaults: dict[str, Any] = {"time_ms": 0.0, "count": 0, "host": "", "zone": ""}
    timeline_events = []
    for row in reply.rows:
        if row.get("kind") not in kinds:
            continue
        known_fields = {name: row[name] for name in Event.__slots__ if name in row}
        known_fields["kind"] = EventKind(known_fields["kind"])
        timeline_events.append(Event(**(defaults | known_fields)))
    return Timeline(
        events=timeline_events,
        offsets_ms=reply.offsets_ms,
        silent_hosts=reply.silent_hosts,
    )
