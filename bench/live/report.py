"""Result table and result file of the live benchmark."""

import json
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

from bench.live.run import CaseResult

__all__ = ["print_header", "print_row", "write_results"]

COLUMNS = (
    ("site", 10),
    ("condition", 10),
    ("load", 6),
    ("offered_per_s", 14),
    ("p50_ms", 9),
    ("p99_ms", 9),
    ("p999_ms", 9),
    ("goodput", 9),
    ("refusals", 9),
    ("lost", 5),
    ("doubled", 8),
    ("unknown", 8),
    ("measuring_calls_per_request", 28),
    ("measuring_bytes_per_request", 28),
    ("store_calls_per_request", 24),
    ("entry_cpu_us_per_request", 25),
    ("caller_lag_p99_ms", 18),
)


def print_header() -> None:
    """Print the column names."""
    print("".join(name.rjust(width) for name, width in COLUMNS))


def print_row(result: CaseResult) -> None:
    """
    Print one case.

    :param result: results of the case
    """
    values = asdict(result)
    cells = (str(values[name]).rjust(width) for name, width in COLUMNS)
    print("".join(cells), flush=True)


def write_results(path: Path, results: Sequence[CaseResult]) -> None:
    """
    Write all results as JSON.

    :param path: file to write
    :param results: results of each case
    """
    document = {"cases": [asdict(result) for result in results]}
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
