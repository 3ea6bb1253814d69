"""Tests of the reference page that names the test for each promise."""

import re
from pathlib import Path

from tests.functions import function_tests

load_tests = function_tests(__name__)

TESTS = Path(__file__).parent
PAGE = TESTS.parent / "docs" / "reference" / "promises.md"
TEST_NAME_PATTERN = re.compile(r"`([a-z_/]+\.py)`")
ROW_PATTERN = re.compile(r"^\| (?!Promise|Rule|-).*\|$", re.MULTILINE)


def test_each_test_named_on_the_page_exists():
    names = set(TEST_NAME_PATTERN.findall(PAGE.read_text()))
    assert names
    missing = [name for name in names if not (TESTS / name).is_file()]
    assert not missing, missing


def test_each_promise_names_a_test():
    rows = ROW_PATTERN.findall(PAGE.read_text())
    assert len(rows) > 20
    rows_without_test = [
        row
        for row in rows
        if not row.startswith("|---") and not TEST_NAME_PATTERN.search(row)
    ]
    assert not rows_without_test, rows_without_test
