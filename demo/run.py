"""Runs the demo."""

import asyncio
import random
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from demo.faults import Faults
from demo.load import make_load
from demo.report import (
    closing_line,
    print_faults,
    print_header,
    print_refusals,
    print_table,
)
from mangohatch.clock import Clock, SystemClock
from standins.caller import Balancer, Caller, Costs, judge
from standins.costs import costs_of
from standins.fleet import Fleet
from standins.platform import Platform
from standins.scrape import Totals
from standins.sites import SITES, Site
from standins.upstream import Behaviour

__all__ = ["run_demo"]

ENTRIES_PER_SITE = 3
LOAD_MS = 20_000.0
BEHAVIOUR = Behaviour(noise_factor=3.0, cold_ms=2000.0)


class SiteRun:
    """One site of the demo: its processes, its load and its failures."""

    def __init__(self, *, site: Site, folder: Path, seed: int, clock: Clock) -> None:
        rng = random.Random(seed)
        self.site = site
        platform = Platform(folder=folder)
        self.fleet = Fleet(site=site, folder=folder, seed=seed, platform=platform)
        self.balancer = Balancer(rng=rng)
        self.caller = Caller(balancer=self.balancer, clock=clock, rng=rng)
        self.faults = Faults(fleet=self.fleet, balancer=self.balancer, clock=clock)
        self.ledgers: list[dict[str, Any]] = []
        self.totals: Totals = Counter()
        self.store_calls = 0
        self._seed = seed

    async def run(self) -> None:
        """Start the processes, send the load, cause the failures, read the counts."""
        await self.fleet.platform.start()
        await self.fleet.start_upstreams(BEHAVIOUR)
        await self.fleet.declare_services()
        for _ in range(ENTRIES_PER_SITE):
            entry = await self.fleet.start_entry()
            self.balancer.add(entry.entry)
        plan = make_load(self.site, duration_ms=LOAD_MS, seed=self._seed)
        await asyncio.gather(self.caller.run(plan), self.faults.run())
        await self.faults.finish()
        self.ledgers = await self.fleet.read_ledgers()
        self.totals = await self.fleet.read_metrics()
        self.store_calls = sum((await self.fleet.platform.read_calls()).values())

    async def stop(self) -> None:
        """End the processes."""
        self.balancer.close()
        await self.fleet.stop()


async def run_demo(seed: int) -> bool:
    """
    Run both sites and print what callers saw.

    :param seed: seed of load, slow-downs and choices of callers
    :return: whether every promise was kept
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
        finally:
            await asyncio.gather(*(run.stop() for run in runs))
    return print_results(runs)


def print_results(runs: list[SiteRun]) -> bool:
    """
    Print tables and the closing line.

    :param runs: both sites
    :return: whether every promise was kept
    """
    print_faults([note for run in runs for note in run.faults.notes])
    print_header()
    for run in runs:
        print_table(run.site.name, run.caller.records)
    records = [record for run in runs for record in run.caller.records]
    print_refusals(records)
    verdict = judge(
        records,
        [ledger for run in runs for ledger in run.ledgers],
        costs=sum_costs(runs),
        worked_after_drain=sum(run.faults.worked_after_drain for run in runs),
    )
    orders = {run.faults.order_state for run in runs}
    statuses = {run.faults.exit_status for run in runs}
    print(f"\norders: {orders}; exit statuses of replaced entry hosts: {statuses}")
    print(closing_line(verdict))
    return verdict.kept and orders == {"accepted"} and statuses == {0}


def sum_costs(runs: list[SiteRun]) -> Costs:
    """
    Sum what both sites spent.

    :param runs: both sites
    :return: the costs
    """
    totals = sum((run.totals for run in runs), Counter())
    return costs_of(totals, store_calls=sum(run.store_calls for run in runs))
