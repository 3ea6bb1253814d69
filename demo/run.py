"""Runs both sites of the demo and prints the results."""

import asyncio
import tempfile
from collections import Counter
from pathlib import Path

from demo.hold import hold_site, print_addresses
from demo.report import (
    closing_line,
    print_failed_attempts,
    print_faults,
    print_header,
    print_table,
)
from demo.site_run import SiteRun
from mangohatch.clock import Clock, SystemClock
from standins.caller import Costs, evaluate
from standins.costs import collect_costs
from standins.sites import SITES

__all__ = ["run_demo"]


async def hold(runs: list[SiteRun], seconds: int, seed: int, clock: Clock) -> None:
    """
    Keep both sites running under load for manual inspection.

    :param runs: both sites
    :param seconds: duration in seconds
    :param seed: seed of the load
    :param clock: source of time
    """
    print(f"the failures are over; both sites stay up for {seconds} s")
    for run in runs:
        print_addresses(run.fleet)
    holds = (
        hold_site(run.fleet, run.balancer, clock, hold_ms=seconds * 1000.0, seed=seed)
        for run in runs
    )
    await asyncio.gather(*holds)


async def run_demo(seed: int, hold_seconds: int = 0) -> bool:
    """
    Run both sites under load and failures and print the results.

    :param seed: seed of the load, the slowdowns and the callers' choices
    :param hold_seconds: seconds to keep the sites up after the failures
    :return: whether the run passed
    """
    clock = SystemClock()
    with tempfile.TemporaryDirectory(prefix="mangohatch-demo-") as name:
        runs = [
            SiteRun(site=site, folder=Path(name), seed=seed + number, clock=clock)
            for number, site in enumerate(SITES)
        ]
        print("two sites, three entry hosts each; 20 s of load, please wait")
        try:
            await asyncio.gather(*(run.run() for run in runs))
            if hold_seconds:
                await hold(runs, hold_seconds, seed, clock)
        finally:
            await asyncio.gather(*(run.stop() for run in runs))
    return print_results(runs)


def print_results(runs: list[SiteRun]) -> bool:
    """
    Print the injected failures, the tables and the closing line.

    :param runs: both sites, stopped
    :return: whether there were no violations, the drain order was accepted on both
        sites and the replaced entry hosts exited with status 0
    """
    print_faults([fault for run in runs for fault in run.faults.injected_faults])
    print_header()
    for run in runs:
        print_table(run.site.name, run.caller.records)
    records = [record for run in runs for record in run.caller.records]
    print_failed_attempts(records)
    verdict = evaluate(
        records,
        [ledger for run in runs for ledger in run.ledgers],
        costs=sum_costs(runs),
        worked_after_drain=sum(run.faults.worked_after_drain for run in runs),
    )
    orders = {run.faults.order_state for run in runs}
    statuses = {run.faults.exit_status for run in runs}
    print(f"\norders: {orders}; exit statuses of replaced entry hosts: {statuses}")
    print(closing_line(verdict))
    return verdict.passed and orders == {"accepted"} and statuses == {0}


def sum_costs(runs: list[SiteRun]) -> Costs:
    """
    Sum the measuring and object API costs of both sites.

    :param runs: both sites
    :return: costs of both sites
    """
    totals = sum((run.totals for run in runs), Counter())
    return collect_costs(totals, store_calls=sum(run.store_calls for run in runs))
