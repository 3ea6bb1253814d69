"""Command line of the virtual-time benchmark of routing decisions."""

import json
import multiprocessing
import sys
import time
from dataclasses import asdict
from pathlib import Path

from cyclopts import App

from bench.known_red import read_known_red
from bench.virtual.cost import DecisionCost, measure_costs
from bench.virtual.plans import FULL, QUICK, make_plans
from bench.virtual.plot import plot_tail
from bench.virtual.run import run_plan
from bench.virtual.sites import SITES
from bench.virtual.summary import Row, make_rows, print_table
from bench.virtual.targets import Check, check_costs, check_targets

ROOT = Path(__file__).resolve().parents[2]
RESULTS = ROOT / "bench" / "results"

app = App(name="bench.virtual", help="Measure decisions in virtual time.")


@app.default
def main(*, quick: bool = False, jobs: int = 2) -> int:
    """
    Run the benchmark, print its tables and check the targets.

    :param quick: whether to run a reduced set of plans without writing files
    :param jobs: number of worker processes
    :return: exit status, 1 if a target not listed in KNOWN-RED.txt is missed
    """
    started_s = time.monotonic()
    plans = list(make_plans(QUICK if quick else FULL))
    with multiprocessing.get_context("fork").Pool(jobs) as pool:
        results = pool.map(run_plan, plans, chunksize=4)
    costs = measure_costs()
    rows = make_rows(results)
    for site in SITES:
        print_table(rows, site)
    print_costs(costs)
    checks = [check for site in SITES for check in check_targets(rows, site)]
    checks += check_costs(costs)
    unlisted = print_checks(checks)
    if not quick:
        write_results(rows, costs, checks)
    print(f"{len(plans)} runs in {time.monotonic() - started_s:.0f} s")
    return 1 if unlisted else 0


def print_costs(costs: list[DecisionCost]) -> None:
    """
    Print the processor time of decisions.

    :param costs: costs, one per number of upstreams
    """
    print("\ndecision in us, request and release, at the host that is the broker")
    for cost in costs:
        print(
            f"{cost.upstreams:5d} upstreams: {cost.total_us:5.1f} "
            f"({cost.request_us:.1f} + {cost.release_us:.1f})"
        )


def print_checks(checks: list[Check]) -> int:
    """
    Print the result of each target check.

    :param checks: checks of all sites and of decision costs
    :return: number of missed targets that KNOWN-RED.txt does not list
    """
    known = read_known_red()
    print("\ntargets")
    unlisted = 0
    for check in checks:
        listed = check.passed or check.title in known
        print(check.describe() + ("" if listed else " NOT LISTED"))
        unlisted += not listed
    missed = sum(not check.passed for check in checks)
    print(
        f"{len(checks) - missed} met, {missed} missed, {unlisted} of these not listed"
    )
    return unlisted


def render_sections(sections: dict[str, list[dict]]) -> str:
    """
    Render lists of entries as JSON with one entry per line.

    :param sections: lists of entries by section name
    :return: the JSON document
    """
    parts = []
    for name, entries in sections.items():
        lines = ",\n".join(json.dumps(entry) for entry in entries)
        parts.append(f"{json.dumps(name)}: [\n{lines}\n]")
    return "{\n" + ",\n".join(parts) + "\n}\n"


def write_results(
    rows: list[Row], costs: list[DecisionCost], checks: list[Check]
) -> None:
    """
    Write the results as JSON and plot the tail latency.

    :param rows: results by site, case, load and policy
    :param costs: costs, one per number of upstreams
    :param checks: checks of all sites and of decision costs
    """
    sections = {
        "rows": [asdict(row) for row in rows],
        "costs": [asdict(cost) for cost in costs],
        "targets": [asdict(check) | {"passed": check.passed} for check in checks],
    }
    RESULTS.mkdir(exist_ok=True)
    text = render_sections(sections)
    (RESULTS / "virtual.json").write_text(text, encoding="utf-8")
    plot_tail(rows, RESULTS / "virtual.png")


if __name__ == "__main__":
    sys.exit(app())
