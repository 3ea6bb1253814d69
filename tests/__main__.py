"""Runs all tests, or those whose names contain one of the arguments."""

import logging
import sys
import unittest
from pathlib import Path

import structlog

import tests.fixtures  # noqa: F401
import tests.network  # noqa: F401

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
RED_PREFIX = "test:"


def read_known_red() -> set[str]:
    """
    Read the names of the tests that are known to fail.

    :return: names from the ``test:`` lines of KNOWN-RED.txt; empty without the file
    """
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(RED_PREFIX).strip()
        for line in lines
        if line.startswith(RED_PREFIX)
    }


def iterate_cases(suite: unittest.TestSuite):
    """
    Iterate over the test cases of nested suites.

    :param suite: a suite of suites and test cases
    :return: the test cases in order
    """
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_cases(item)
        else:
            yield item


def case_name(case: unittest.TestCase) -> str:
    """
    Return the name of a test case, as used in KNOWN-RED.txt.

    :param case: the test case
    :return: names of the module and the function, joined by a dot
    """
    return case.shortDescription() or case.id()


def main() -> int:
    """
    Run the selected tests and print the numbers of passed and failed tests.

    :return: the exit status
    """
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    logging.disable(logging.CRITICAL)
    discovered = unittest.TestLoader().discover(
        str(ROOT / "tests"), top_level_dir=str(ROOT)
    )
    name_filters = sys.argv[1:]
    cases = [
        case
        for case in iterate_cases(discovered)
        if not name_filters
        or any(name_filter in case_name(case) for name_filter in name_filters)
    ]
    known_red = read_known_red()
    skipped = [case for case in cases if case_name(case) in known_red]
    for case in skipped:
        print(f"known red, not run: {case_name(case)}")
    suite = unittest.TestSuite(case for case in cases if case not in skipped)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors)
    print(f"{result.testsRun - failed} passed, {failed} failed")
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
