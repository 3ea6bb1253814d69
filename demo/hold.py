"""Keeps the sites of the demo running under load for manual inspection."""

import asyncio
import random

from demo.load import make_load
from mangohatch.clock import Clock
from standins.caller import Balancer, Caller
from standins.fleet import Fleet

__all__ = ["hold_site", "print_addresses"]

CHUNK_MS = 10_000.0
SLOW_AT_MS = 2000.0
SLOW_DURATION_MS = 1500.0
SLOW_FACTOR = 200.0
SLOWED_UPSTREAM_INDEX = 5


def print_addresses(fleet: Fleet) -> None:
    """
    Print the operator API addresses of a site's entry hosts.

    :param fleet: processes of a site
    """
    print(f"\n{fleet.site.name}: service {fleet.site.desk.name}")
    for entry in fleet.entries:
        print(f"  {entry.host_id}  --host {entry.admin[0]}:{entry.admin[1]}")


async def slow_upstream_briefly(fleet: Fleet) -> None:
    """
    Slow down one upstream for 1.5 s, as a busy neighbouring process would.

    :param fleet: processes of a site
    """
    upstream = fleet.upstreams[SLOWED_UPSTREAM_INDEX]
    await asyncio.sleep(SLOW_AT_MS / 1000)
    await fleet.control(upstream, slow_factor=SLOW_FACTOR)
    await asyncio.sleep(SLOW_DURATION_MS / 1000)
    await fleet.control(upstream, slow_factor=1.0)


async def hold_site(
    fleet: Fleet, balancer: Balancer, clock: Clock, *, hold_ms: float, seed: int
) -> None:
    """
    Send load to a site and slow down one upstream for 1.5 s in every 10 s.

    :param fleet: processes of the site
    :param balancer: spreads requests over its entry hosts
    :param clock: source of time
    :param hold_ms: duration in milliseconds, rounded down to a multiple of 10 s
    :param seed: seed of the load and of the callers
    """
    for chunk in range(int(hold_ms // CHUNK_MS)):
        caller = Caller(balancer=balancer, clock=clock, rng=random.Random(seed))
        plan = make_load(
            fleet.site,
            duration_ms=CHUNK_MS,
            seed=seed + chunk,
            name=f"hold-{chunk}",
            crashing=False,
        )
        await asyncio.gather(caller.run(plan), slow_upstream_briefly(fleet))
