"""Short runs of real hosts while upstreams, routes, hosts and the store change."""

import tempfile
from dataclasses import replace
from pathlib import Path

from tests.functions import function_tests
from tests.soak.plan import make_plan
from tests.soak.play import play

load_tests = function_tests(__name__)

HOSTS = 6
SECONDS = 20.0


async def play_short(seed, **fields):
    plan = replace(make_plan(seed, hosts=HOSTS, seconds=SECONDS), per_s=40.0, **fields)
    with tempfile.TemporaryDirectory() as folder:
        verdict = await play(plan, seed, Path(folder))
    assert verdict.judged, verdict
    assert not verdict.broken, "\n".join(verdict.broken)


async def test_upstreams_that_left_stay_out_of_use_beside_stopped_hosts():
    """Hosts that were continued brought upstreams that had left back into use."""
    await play_short(
        1, troubles=("stop", "kill"), trouble_gap_s=2.0, replace_gap_s=0.2, burst=1
    )


async def test_changes_are_in_force_after_the_store_came_back_from_a_copy():
    """Hosts ignored the store for as long as its revisions were lower than before."""
    await play_short(
        2, troubles=("rewind",), trouble_gap_s=8.0, rewind_s=20.0, tells_era=False
    )


async def test_planned_stops_and_bursts_of_changes_are_served():
    await play_short(3, troubles=("term", "away"), trouble_gap_s=3.0, burst=5)


async def test_withdrawn_and_added_keys_are_in_force_beside_killed_and_ignored_hosts():
    await play_short(
        4,
        accounts=True,
        troubles=("kill", "ignore"),
        trouble_gap_s=2.0,
        burst=5,
        change_gap_s=0.5,
    )
