"""Runs one site of the demo."""

import asyncio
import random
from collections import Counter
from pathlib import Path
from typing import Any

from demo.faults import FaultInjector
from demo.load import make_load
from mangohatch.clock import Clock
from standins.caller import Balancer, Caller
from standins.fleet import Fleet
from standins.platform import Platform
from standins.scrape import Totals
from standins.sites import Site
from standins.upstream import Behaviour

__all__ = ["SiteRun"]

ENTRY_HOSTS_PER_SITE = 3
LOAD_MS = 20_000.0
BEHAVIOUR = Behaviour(noise_factor=3.0, cold_ms=2000.0)


class SiteRun:
    """Processes, load and failures of one site, and the counts read at the end."""

    def __init__(self, *, site: Site, folder: Path, seed: int, clock: Clock) -> None:
        rng = random.Random(seed)
        self.site = site
        platform = Platform(folder=folder)
        self.fleet = Fleet(site=site, folder=folder, seed=seed, platform=platform)
        self.balancer = Balancer(rng=rng)
        self.caller = Caller(balancer=self.balancer, clock=clock, rng=rng)
        self.faults = FaultInjector(
            fleet=self.fleet, balancer=self.balancer, clock=clock
        )
        self.ledgers: list[dict[str, Any]] = []
        self.totals: Totals = Counter()
        self.store_calls = 0
        self._seed = seed

    async def run(self) -> None:
        """Start the processes, send load, inject failures and read the counts."""
        await self.fleet.platform.start()
        await self.fleet.start_upstreams(BEHAVIOUR)
        await self.fleet.declare_services()
        for _ in range(ENTRY_HOSTS_PER_SITE):
            entry = await self.fleet.start_entry()
            self.balancer.add(entry.entry)
        plan = make_load(self.site, duration_ms=LOAD_MS, seed=self._seed)
        await asyncio.gather(self.caller.run(plan), self.faults.run())
        await self.faults.count_work_after_drain()
        self.ledgers = await self.fleet.read_ledgers()
        self.totals = await self.fleet.read_metrics()
        self.store_calls = sum((await self.fleet.platform.read_calls()).values())

    async def stop(self) -> None:
        """Close caller connections and stop the processes."""
        self.balancer.close()
        await self.fleet.stop()
