"""Renders the timeline as lines of key=value pairs."""

from dataclasses import asdict
from datetime import UTC, datetime

from mangohatch.timeline.event import Event
from mangohatch.timeline.render.base import Renderer, Timeline

__all__ = ["TextRenderer", "format_time"]

MS_PER_S = 1000
HEAD_FIELDS = ("time_ms", "count", "host", "zone", "kind")


def format_time(time_ms: float) -> str:
    """
    Format a wall-clock time.

    :param time_ms: milliseconds since the epoch
    :return: time in ISO 8601 format, in UTC with milliseconds
    """
    moment = datetime.fromtimestamp(time_ms / MS_PER_S, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def format_event(event: Event) -> str:
    """
    Format one event; fields with an empty or zero value are omitted.

    :param event: the event
    :return: one line, not terminated
    """
    head = f"{format_time(event.time_ms)} {event.host} {event.zone} {event.kind}"
    rest = [
        f"{name}={value!r}" if isinstance(value, str) else f"{name}={value:g}"
        for name, value in asdict(event).items()
        if name not in HEAD_FIELDS and value
    ]
    return " ".join([head, *rest])


class TextRenderer(Renderer):
    """Renders one line per event, then clock offsets and hosts without an answer."""

    content_type = "text/plain; charset=utf-8"

    def render(self, timeline: Timeline) -> str:
        lines = [format_event(event) for event in timeline.events]
        for host, (low_ms, high_ms) in sorted(timeline.offsets_ms.items()):
            lines.append(f"# clock of {host}: {low_ms:+.3f} to {high_ms:+.3f} ms")
        for host in timeline.silent_hosts:
            lines.append(f"# no answer from {host}")
        return "\n".join(lines) + "\n"
