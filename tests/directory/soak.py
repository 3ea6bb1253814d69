"""Plays changes of the directory while hosts have troubles that a seed chooses."""

import asyncio
import random
import sys
from dataclasses import dataclass, field

from standins.virtual_loop import VirtualLoop
from tests.directory.fleet import Followers
from tests.fleet.soak import run_soak

__all__ = ["Verdict", "find_faults", "play"]

SITES = ((17, 2_000.0), (136, 2_500.0))  # hosts, and the bound of a change
TICK_MS = 50.0
SETTLE_MS = 2_000.0
CHANGES = 6
MAX_IGNORED_SHARE = 0.35


@dataclass(slots=True, kw_only=True)
class Verdict:
    """The hosts without trouble of their own that had a change late."""

    hosts: int
    ignored: int
    delay_ms: float
    loss: float
    late: dict[int, list[str]] = field(default_factory=dict)


def play(seed: int) -> Verdict:
    """Change the configuration while the store ignores hosts and one sends late."""
    rng = random.Random(seed)
    hosts, bound_ms = SITES[seed % len(SITES)]
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    fleet = Followers(loop, count=hosts, tick_ms=TICK_MS)
    names = sorted(fleet.followers)
    verdict = Verdict(
        hosts=hosts,
        ignored=int(hosts * rng.uniform(0.0, MAX_IGNORED_SHARE)),
        delay_ms=rng.choice((0.0, 0.0, 500.0, 1_500.0, 2_500.0)),
        loss=rng.choice((0.0, 0.01, 0.03)),
    )
    fleet.network.rng = random.Random(seed)
    fleet.network.loss = verdict.loss
    fleet.store.put("config", "main", "v0")
    fleet.store.put("upstreams", "u1", "ready")
    try:
        fleet.run(SETTLE_MS)
        for number in range(1, CHANGES + 1):
            ignored = set(rng.sample(names, verdict.ignored))
            reader = find_reader(fleet)
            fleet.store.silent = ignored
            fleet.network.delays_ms = {reader: verdict.delay_ms}
            fleet.run(rng.choice((0.0, 500.0, verdict.delay_ms, 4_000.0)))
            fleet.store.put("config", "main", f"v{number}")
            fleet.run(bound_ms)
            late = set(fleet.hosts_without("config", "main", f"v{number}"))
            if verdict.delay_ms:
                late.discard(reader)
            if late - ignored:
                verdict.late[number] = sorted(late - ignored)
    finally:
        fleet.stop()
        loop.close()
    return verdict


def find_reader(fleet: Followers) -> str:
    """Find the host that made the latest reading of the configuration."""
    made = {host: one.part("config") for host, one in fleet.followers.items()}
    newest = max(made.values(), key=lambda part: part.read_ms)
    origins = {one.origin: host for host, one in fleet.followers.items()}
    return origins[newest.origin]


def find_faults(verdict: Verdict) -> list[str]:
    """List the changes that came late."""
    return [
        f"change {number} late on {len(hosts)} hosts ({', '.join(hosts[:3])})"
        for number, hosts in verdict.late.items()
    ]


def describe(verdict: Verdict) -> str:
    """Describe the troubles of a run."""
    return (
        f"{verdict.hosts} hosts, {verdict.ignored} ignored,"
        f" reader {verdict.delay_ms:.0f} ms late, loss {verdict.loss}"
    )


def run_seed(seed: int) -> tuple[int, Verdict]:
    """Play one seed."""
    return seed, play(seed)


if __name__ == "__main__":
    sys.exit(
        run_soak(
            description=__doc__ or "",
            run_seed=run_seed,
            describe=describe,
            find_faults=find_faults,
        )
    )
