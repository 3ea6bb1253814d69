"""Measures all slopes and rewrites the tables in docs/CAPACITY.md."""

import logging
from pathlib import Path

import structlog

from bench.slopes.base import Slope, measure_slope
from bench.slopes.design import derive_rows, make_design_table
from bench.slopes.fleet import FLEET_SLOPES
from bench.slopes.report import make_table, replace_table, write_results
from bench.slopes.request import REQUEST_SLOPES
from bench.slopes.state import STATE_SLOPES
from bench.slopes.work import WORK_SLOPES

ROOT = Path(__file__).resolve().parent.parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
RESULTS = ROOT / "bench" / "results" / "slopes.json"


def main() -> None:
    """Measure all slopes, print them and write the result file and the page."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING)
    )
    slopes: list[Slope] = [*STATE_SLOPES, *WORK_SLOPES, *FLEET_SLOPES, *REQUEST_SLOPES]
    fits = [measure_slope(slope) for slope in slopes]
    table = make_table(fits)
    print(table)
    write_results(fits, RESULTS)
    page = PAGE.read_text(encoding="utf-8")
    page = replace_table(page, "slopes", table)
    page = replace_table(page, "design", make_design_table(derive_rows(fits)))
    PAGE.write_text(page, encoding="utf-8")


if __name__ == "__main__":
    main()
