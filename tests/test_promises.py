"""Tests of the page that says which test proves which promise."""

import re
from pathlib import Path

from tests.functions import function_tests

load_tests = function_tests(__name__)

TESTS = Path(__file__).parent
PAGE = TESTS.parent / "docs" / "reference" / "promises.md"
NAMED = re.compile(r"`([a-z_/]+\.py)`")
ROW = re.compile(r"^\| (?!Promise|Rule|-).*\|$", re.MULTILINE)


def test_each_test_named_on_the_page_exists():
    names = set(NAMED.findall(PAGE.read_text()))
    assert names
    missing = [name for name in names if not (TESTS / name).is_file()]
    assert not missing, missing


def test_each_promise_names_a_test():
    rows = ROW.findall(PAGE.read_text())
    assert len(rows) > 20
    bare = [row for row in rows if not row.startswith("|---") and not NAMED.search(row)]
    assert not bare, bare
