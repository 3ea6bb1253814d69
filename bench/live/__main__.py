"""Entry point of ``python -m bench.live``."""

import sys
from collections.abc import Iterable
from pathlib import Path

from cyclopts import App

from bench.known_red import read_known_red
from bench.live.cases import LOADS, Condition
from bench.live.report import print_header, print_row, write_results
from bench.live.run import CaseResult, run_condition
from bench.live.targets import check_targets
from bench.virtual.targets import Check
from mangohatch.loop import run_loop
from standins.sites import SITES

RESULTS = Path("bench/results/live.json")

app = App(name="bench.live", help="Measure the live path on loopback.")


async def run_all(
    seed: int, names: list[str] | None, conditions: list[Condition]
) -> list[CaseResult]:
    """
    Run all cases of the selected sites.

    :param seed: seed of load, slowdowns and choices of callers
    :param names: names of the sites to run, None for all
    :param conditions: conditions of the upstreams to run
    :return: results of each case
    """
    results = []
    sites = [site for site in SITES if names is None or site.name in names]
    for site in sites:
        for condition in conditions:
            for result in await run_condition(site, condition, LOADS, seed):
                print_row(result)
                results.append(result)
    return results


@app.default
def main(
    *,
    seed: int = 1,
    site: list[str] | None = None,
    condition: list[Condition] | None = None,
    out: Path = RESULTS,
) -> int:
    """
    Run the live benchmark.

    :param seed: seed of load, slowdowns and choices of callers
    :param site: run only these sites
    :param condition: run only these conditions
    :param out: file for the results
    :return: exit status, 1 if a target not listed in KNOWN-RED.txt is missed
    """
    print_header()
    results = run_loop(run_all(seed, site, condition or list(Condition)))
    write_results(out, results)
    return 1 if print_checks(check_targets(results)) else 0


def print_checks(checks: Iterable[Check]) -> int:
    """
    Print the targets that are missed.

    :param checks: checks of all cases
    :return: number of missed targets that KNOWN-RED.txt does not list
    """
    known = read_known_red()
    checks = list(checks)
    missed = [check for check in checks if not check.passed]
    unlisted = [check for check in missed if check.title not in known]
    for check in missed:
        print(check.describe() + (" NOT LISTED" if check in unlisted else ""))
    print(f"{len(checks) - len(missed)} met, {len(missed)} missed, {len(unlisted)} new")
    return len(unlisted)


if __name__ == "__main__":
    sys.exit(app())
