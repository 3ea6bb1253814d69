"""Renders the timeline as an HTML page with one lane per host."""

from collections.abc import Sequence
from html import escape

from mangohatch.timeline.event import Event, EventKind
from mangohatch.timeline.render.base import Renderer, Timeline
from mangohatch.timeline.render.text import format_event, format_time

__all__ = ["HtmlRenderer"]

WIDTH_PX = 1100
LABEL_PX = 150
MARGIN_PX = 30
LANE_PX = 46
TOP_PX = 40
RADIUS_PX = 5

STYLE = """
body { font: 14px system-ui, sans-serif; margin: 24px; color: #222; }
svg { background: #fafafa; border: 1px solid #ddd; }
table { border-collapse: collapse; margin-top: 16px; }
td, th { padding: 3px 10px; border-bottom: 1px solid #eee; text-align: left; }
td.time { font-variant-numeric: tabular-nums; white-space: nowrap; }
p.warning { color: #b00020; }
"""

RED_KINDS = frozenset(
    {
        EventKind.MEMBER_DEAD,
        EventKind.REQUEST_FAILED,
        EventKind.UPSTREAM_EJECTED,
        EventKind.REQUEST_QUARANTINED,
        EventKind.STORE_UNAVAILABLE,
        EventKind.ORDER_REFUSED,
    }
)
ORANGE_KINDS = frozenset(
    {
        EventKind.MEMBER_SUSPECTED,
        EventKind.REQUEST_SLOW,
        EventKind.REQUEST_RETRIED,
        EventKind.REQUEST_REFUSED,
        EventKind.CONNECTION_SILENT,
        EventKind.UPSTREAM_DRAINING,
        EventKind.HOST_LEAVING,
    }
)


def pick_color(kind: EventKind) -> str:
    """
    Choose the color for a kind of event.

    :param kind: kind of the event
    :return: a CSS color
    """
    if kind in RED_KINDS:
        return "#c62828"
    if kind in ORANGE_KINDS:
        return "#ef8f00"
    return "#2e7d32"


def draw_lanes(events: Sequence[Event]) -> str:
    """
    Draw the events as points on one lane per host.

    :param events: events in causal order, at least one
    :return: an SVG element
    """
    hosts = sorted({event.host for event in events})
    first_ms = min(event.time_ms for event in events)
    last_ms = max(event.time_ms for event in events)
    span_ms = max(last_ms - first_ms, 1.0)
    scale = (WIDTH_PX - LABEL_PX - 2 * MARGIN_PX) / span_ms
    height_px = TOP_PX + LANE_PX * len(hosts)
    parts = [f'<svg width="{WIDTH_PX}" height="{height_px}">']
    right_px = WIDTH_PX - MARGIN_PX
    parts.append(f'<text x="{LABEL_PX}" y="20">{format_time(first_ms)}</text>')
    parts.append(
        f'<text x="{right_px}" y="20" text-anchor="end">{format_time(last_ms)}</text>'
    )
    rows_px = {
        host: TOP_PX + LANE_PX * index + LANE_PX // 2
        for index, host in enumerate(hosts)
    }
    for host, y_px in rows_px.items():
        parts.append(f'<text x="10" y="{y_px + 4}">{escape(host)}</text>')
        parts.append(
            f'<line x1="{LABEL_PX}" x2="{right_px}" y1="{y_px}" y2="{y_px}" '
            'stroke="#ccc"/>'
        )
    for event in events:
        x_px = LABEL_PX + MARGIN_PX + (event.time_ms - first_ms) * scale
        parts.append(
            f'<circle cx="{x_px:.1f}" cy="{rows_px[event.host]}" r="{RADIUS_PX}" '
            f'fill="{pick_color(event.kind)}">'
            f"<title>{escape(format_event(event))}</title></circle>"
        )
    parts.append("</svg>")
    return "\n".join(parts)


def draw_row(event: Event) -> str:
    """
    Render one event as a table row.

    :param event: the event
    :return: a ``tr`` element
    """
    cells = (event.host, event.kind, event.service, event.upstream, event.request_id)
    middle = "".join(f"<td>{escape(cell)}</td>" for cell in cells)
    duration = f"{event.duration_ms:.1f} ms" if event.duration_ms else ""
    return (
        f'<tr><td class="time">{format_time(event.time_ms)}</td>{middle}'
        f"<td>{duration}</td><td>{escape(event.cause)}</td></tr>"
    )


class HtmlRenderer(Renderer):
    """Draws one lane of points per host above a table of the same events."""

    content_type = "text/html; charset=utf-8"

    def render(self, timeline: Timeline) -> str:
        lanes = draw_lanes(timeline.events) if timeline.events else "<p>No events.</p>"
        rows = "\n".join(draw_row(event) for event in timeline.events)
        warnings = "".join(
            f'<p class="warning">No answer from {escape(host)}.</p>'
            for host in timeline.silent_hosts
        )
        offsets = "".join(
            f"<li>clock of {escape(host)}: {low_ms:+.3f} to {high_ms:+.3f} ms</li>"
            for host, (low_ms, high_ms) in sorted(timeline.offsets_ms.items())
        )
        return (
            "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
            f"<title>Time line</title><style>{STYLE}</style></head><body>"
            f"<h1>Time line</h1>{warnings}{lanes}<table><tr><th>time</th>"
            "<th>host</th><th>event</th><th>service</th><th>upstream</th>"
            f"<th>request</th><th>took</th><th>cause</th></tr>{rows}</table>"
            f"<ul>{offsets}</ul></body></html>\n"
        )
