"""Table of slopes for docs/CAPACITY.md, and the result file."""

import json
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

from bench.slopes.base import Fit

__all__ = ["make_table", "replace_table", "write_results"]


def format_cost(value: float) -> str:
    """
    Format a cost with three significant figures or as a whole number.

    :param value: cost to format
    :return: formatted cost
    """
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def make_table(fits: Sequence[Fit]) -> str:
    """
    Render slopes as a Markdown table.

    :param fits: measured slopes
    :return: Markdown text
    """
    lines = [
        "| Cost | Slope | Least to greatest of runs | Measured range |",
        "|---|---|---|---|",
    ]
    for fit in fits:
        lines.append(
            f"| {fit.name} | {format_cost(fit.slope)} {fit.unit} per {fit.per} "
            f"| {format_cost(fit.low)} to {format_cost(fit.high)}, {fit.runs} runs "
            f"| {fit.smallest:,} to {fit.largest:,} |"
        )
    return "\n".join(lines)


def replace_table(page: str, name: str, table: str) -> str:
    """
    Replace the table between the markers of a page.

    :param page: text of the page
    :param name: name of the table in its markers
    :param table: new table in Markdown
    :return: text of the page with the new table
    :raises ValueError: if the page has no markers for the table
    """
    head, begin, rest = page.partition(f"<!-- {name}: begin -->")
    _, end, tail = rest.partition(f"<!-- {name}: end -->")
    if not begin or not end:
        raise ValueError(f"the page has no markers for the table of {name}")
    return f"{head}{begin}\n{table}\n{end}{tail}"


def write_results(fits: Sequence[Fit], path: Path) -> None:
    """
    Write slopes as JSON.

    :param fits: measured slopes
    :param path: file to write
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    document = [asdict(fit) for fit in fits]
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
