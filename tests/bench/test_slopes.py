"""Tests of the fit, the tables and the derived design rows of slopes."""

from bench.slopes.base import Fit, Slope, measure_slope
from bench.slopes.design import derive_rows
from bench.slopes.fleet import FLEET_SLOPES
from bench.slopes.report import make_table, replace_table
from bench.slopes.request import REQUEST_SLOPES
from bench.slopes.state import STATE_SLOPES
from bench.slopes.work import WORK_SLOPES
from tests.functions import function_tests

load_tests = function_tests(__name__)

SLOPES = (*STATE_SLOPES, *WORK_SLOPES, *FLEET_SLOPES, *REQUEST_SLOPES)
SLOPE_NAMES = [slope.name for slope in SLOPES]


class LinearSlope(Slope):
    """Costs 10 plus 3 per unit; every second run costs twice as much."""

    name = "line"
    unit = "us"
    per = "unit"
    sizes = (1, 2, 4)

    def __init__(self):
        self.calls = 0

    def measure(self, size):
        factor = 2 if self.calls // len(self.sizes) % 2 else 1
        self.calls += 1
        return factor * (10 + 3 * size)


def test_fit_gives_median_and_spread():
    fit = measure_slope(LinearSlope(), runs=3)
    assert round(fit.slope, 9) == 3
    assert round(fit.fixed, 9) == 10
    assert (round(fit.low, 9), round(fit.high, 9)) == (3, 6)


def test_table_replaces_text_between_markers():
    table = make_table([measure_slope(LinearSlope(), runs=1)])
    marked = "a <!-- slopes: begin --> old <!-- slopes: end --> z"
    page = replace_table(marked, "slopes", table)
    assert "old" not in page
    assert "| line | 3 us per unit |" in page
    assert page.startswith("a ") and page.endswith(" z")


def test_page_without_markers_is_refused():
    try:
        replace_table("no markers", "slopes", "table")
    except ValueError:
        return
    raise AssertionError("a page without markers was accepted")


def make_fit(name, slope):
    return Fit(
        name=name,
        unit="",
        per="",
        smallest=1,
        largest=2,
        slope=slope,
        low=slope,
        high=slope,
        fixed=0.0,
        runs=1,
    )


def test_design_rows_are_derived_from_slopes():
    slopes = dict.fromkeys(SLOPE_NAMES, 1_000.0)
    slopes["request through an entry host"] = 300.0
    rows = derive_rows([make_fit(name, slope) for name, slope in slopes.items()])
    values = {row.quantity: row.value for row in rows}
    assert values["entry hosts"] == "650"
    assert values["calls a second and host"] == "2,000"
    assert values["slot messages, fully coordinated"] == "371 KB/s"


def test_each_slope_can_be_measured():
    for slope in (*STATE_SLOPES, *WORK_SLOPES, *FLEET_SLOPES):
        assert slope.measure(2) >= 0, slope.name
