"""Tests of the fit and the table of slopes."""

from bench.slopes.base import Slope, measure_slope
from bench.slopes.report import BEGIN, END, make_table, replace_table
from tests.functions import function_tests

load_tests = function_tests(__name__)


class Line(Slope):
    """Costs 3 a unit and 10 besides; every second run costs double."""

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
    fit = measure_slope(Line(), runs=3)
    assert round(fit.slope, 9) == 3
    assert round(fit.fixed, 9) == 10
    assert (round(fit.low, 9), round(fit.high, 9)) == (3, 6)


def test_table_replaces_the_one_between_the_markers():
    table = make_table([measure_slope(Line(), runs=1)])
    page = replace_table(f"a {BEGIN} old {END} z", table)
    assert "old" not in page
    assert "| line | 3 us per unit |" in page
    assert page.startswith("a ") and page.endswith(" z")


def test_page_without_markers_is_refused():
    try:
        replace_table("no markers", "table")
    except ValueError:
        return
    raise AssertionError("a page without markers was accepted")
