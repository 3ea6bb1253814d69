"""Renders replies as text."""

import json
from collections.abc import Sequence
from typing import Any

from mangohatch.admin.reply import OrderAnswer, Reply
from mangohatch.timeline.render.text import format_time

__all__ = ["render"]

GAP = "  "
TIME_COLUMN = "time_ms"
MAX_CELL_CHARS = 120


def render(reply: Reply) -> str:
    """
    Render a reply: an error, the state of an order, or a table with notes.

    :param reply: the reply
    :return: lines of text, the last one terminated by a line feed
    """
    if reply.error is not None:
        return f"{reply.error.code}: {reply.error.message}\n"
    if reply.order is not None:
        return render_order(reply.order)
    lines = list(reply.notes)
    if lines and reply.rows:
        lines.append("")
    lines += render_table(reply.columns, reply.rows)
    lines += [f"# no answer from {host}" for host in reply.silent_hosts]
    lines += [
        f"# clock of {host}: {low_ms:+.3f} to {high_ms:+.3f} ms"
        for host, (low_ms, high_ms) in sorted(reply.offsets_ms.items())
    ]
    lines += [f"# rows left out by {host}" for host in reply.truncated_hosts]
    return "\n".join(lines) + "\n"


def render_order(order: OrderAnswer) -> str:
    """
    Render the state of an order.

    :param order: state of the order
    :return: one line, terminated by a line feed
    """
    parts = [order.state]
    if order.order_id:
        parts.append(f"order {order.order_id}")
    if order.revision:
        parts.append(f"revision {order.revision}")
    if order.code:
        parts.append(order.code)
    text = ", ".join(parts)
    if order.reason:
        text += f": {order.reason}"
    if order.waiting_for:
        text += f"; waiting for {', '.join(order.waiting_for)}"
    return text + "\n"


def render_table(columns: Sequence[str], rows: Sequence[dict[str, Any]]) -> list[str]:
    """
    Render rows as a table with a header line.

    :param columns: names of the columns in order
    :param rows: values by column
    :return: lines, the header first; columns that no row has are omitted
    """
    if not rows:
        return ["no rows"]
    used = [name for name in columns if any(name in row for row in rows)]
    cells = [[render_cell(name, row.get(name, "")) for name in used] for row in rows]
    table = [used, *cells]
    widths = [max(len(line[index]) for line in table) for index in range(len(used))]
    return [
        GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in table
    ]


def render_cell(name: str, value: Any) -> str:
    """
    Render one value.

    :param name: name of the column
    :param value: value of the column
    :return: text of at most :data:`MAX_CELL_CHARS` characters
    """
    if name == TIME_COLUMN and isinstance(value, int | float):
        return format_time(value)
    if isinstance(value, list | tuple):
        text = ",".join(str(element) for element in value)
    elif isinstance(value, dict):
        text = json.dumps(value)
    elif isinstance(value, float):
        text = f"{value:g}"
    else:
        text = str(value)
    return text if len(text) <= MAX_CELL_CHARS else text[: MAX_CELL_CHARS - 1] + "…"
