"""Runs all tests, or those whose names contain one of the arguments."""

import sys
import unittest
from collections.abc import Iterable
from pathlib import Path

from tests.parallel import CaseResult, flatten, prepare_process, run_jobs

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
RED_PREFIX = "test:"
SEPARATOR = "=" * 70
SLOWEST = 10


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
    prepare_process()
    discovered = unittest.TestLoader().discover(
        str(ROOT / "tests"), top_level_dir=str(ROOT)
    )
    name_filters = sys.argv[1:]
    cases = [
        case
        for case in flatten(discovered)
        if not name_filters
        or any(name_filter in case_name(case) for name_filter in name_filters)
    ]
    known_red = read_known_red()
    skipped = [case for case in cases if case_name(case) in known_red]
    for case in skipped:
        print(f"known red, not run: {case_name(case)}")
    names = [case_name(case) for case in cases if case not in skipped]
    results = run_jobs(names)
    failed = [result for result in results if result.failure]
    for result in failed:
        print(f"{SEPARATOR}\nFAIL: {result.name}\n{result.failure}")
    print_slowest(results)
    print(f"{len(results) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed or not results else 0


def print_slowest(results: Iterable[CaseResult]) -> None:
    """
    Print the cases that took longest.

    :param results: results of all cases
    """
    slowest = sorted(results, key=lambda result: -result.seconds)[:SLOWEST]
    print("slowest tests:")
    for result in slowest:
        print(f"{result.seconds:8.1f} s  {result.name}")


if __name__ == "__main__":
    sys.exit(main())
