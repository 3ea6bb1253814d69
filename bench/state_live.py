"""Benchmark of configuration propagation and failover with real entry host processes.

Run ``python -m bench.state_live``; it writes bench/results/state_live.json.
"""

import asyncio
import json
import os
import tempfile
import time
from pathlib import Path
from typing import Any

from cyclopts import App

from bench.live.usage import Usage, read_usage
from bench.state import FLEETS, fit_slope, summarize
from standins.fleet import EntryChild, Fleet
from standins.http_json import fetch_json
from standins.platform import Platform
from standins.sites import HIMAL
from standins.upstream import Behaviour

__all__ = ["measure_fleet"]

RESULT = Path(__file__).resolve().parent / "results" / "state_live.json"
SERVICE = HIMAL.desk.name
CHANGES = 20
CHANGE_GAP_S = 0.3
FAIL_OVERS = 3
SETTLE_S = 4.0
IDLE_S = 15.0
FAIL_OVER_S = 9.0
MS_PER_S = 1000.0

app = App(name="bench.state_live", help="Measure the state over real processes.")


async def put_change(fleet: Fleet, slots: int) -> tuple[int, float]:
    """
    Write a change of the service directly to the object API, not through a host.

    :param fleet: running processes
    :param slots: slots of each upstream after the change
    :return: revision of the change, and the wall-clock time before the write in ms
    """
    port = fleet.platform.object_api[1]
    path = f"/objects/service/{SERVICE}"
    stored = await fetch_json(port, path)
    value = stored["value"]
    for upstream in value["upstreams"]:
        upstream["slots"] = slots
    sent_ms = time.time() * MS_PER_S
    written = await fetch_json(
        port,
        f"{path}?expected={stored['revision']}",
        method="PUT",
        body=json.dumps(value),
    )
    return written["revision"], sent_ms


async def read_events(fleet: Fleet, kind: str) -> list[dict[str, Any]]:
    """
    Read events of all hosts from the timeline.

    :param fleet: running processes
    :param kind: kind of event
    :return: events in causal order
    """
    reply = await fetch_json(
        fleet.entries[0].admin[1],
        "/query",
        method="POST",
        body=f"show events of kind {kind} since 1h limit 5000",
    )
    return list(reply["rows"])


async def measure_apply_times(fleet: Fleet, sent: dict[int, float]) -> list[float]:
    """
    Measure how long changes took until all hosts applied them.

    :param fleet: running processes
    :param sent: wall-clock time of each write in milliseconds, by revision
    :return: milliseconds from each write until the last host applied it
    :raises RuntimeError: if a host has not applied a change
    """
    events = await read_events(fleet, "config_applied")
    hosts = {entry.host_id for entry in fleet.entries}
    times = []
    for revision, sent_ms in sent.items():
        seen = {
            event["host"]: event["time_ms"]
            for event in events
            if event["revision"] == revision and event["host"] in hosts
        }
        missing = hosts - set(seen)
        if missing:
            raise RuntimeError(f"revision {revision} was not applied on {missing}")
        times.append(max(seen.values()) - sent_ms)
    return times


async def find_holder(fleet: Fleet) -> EntryChild:
    """
    Return the host that acquired the lease most recently.

    :param fleet: running processes
    :return: holder of the lease
    """
    events = await read_events(fleet, "watcher_changed")
    name = max(events, key=lambda event: event["time_ms"])["host"]
    return next(entry for entry in fleet.entries if entry.host_id == name)


async def measure_idle(fleet: Fleet) -> dict[str, Any]:
    """
    Measure a period without requests and changes.

    :param fleet: running processes
    :return: store calls by role, processor time and memory
    """

    def read_all() -> list[Usage]:
        return [read_usage(entry.child.pid) for entry in fleet.entries]

    calls = await fleet.platform.read_calls()
    before = read_all()
    await asyncio.sleep(IDLE_S)
    after = read_all()
    later = await fleet.platform.read_calls()
    cores = [
        (new.cpu_ms - old.cpu_ms) / MS_PER_S / IDLE_S for old, new in zip(before, after)
    ]
    return {
        "store_calls_per_second": {
            name: round((count - calls.get(name, 0)) / IDLE_S, 3)
            for name, count in later.items()
            if count > calls.get(name, 0)
        },
        "whole_process_core_mean": round(sum(cores) / len(cores), 4),
        "whole_process_core_max": round(max(cores), 4),
        "whole_process_memory_mb": round(
            max(usage.resident_bytes for usage in after) / 1e6, 1
        ),
    }


async def measure_changes(fleet: Fleet) -> list[float]:
    """
    Measure sequential changes.

    :param fleet: running processes
    :return: milliseconds until all hosts applied each change
    """
    sent: dict[int, float] = {}
    for number in range(CHANGES):
        revision, sent_ms = await put_change(fleet, 2 + number % 2)
        sent[revision] = sent_ms
        await asyncio.sleep(CHANGE_GAP_S)
    return await measure_apply_times(fleet, sent)


async def measure_fail_over(fleet: Fleet) -> tuple[float, float]:
    """
    Add a host, then kill the lease holder and change the service immediately.

    The added host replaces the killed one, so that the fleet keeps its size.

    :param fleet: running processes
    :return: milliseconds until all hosts applied the change, and until another host
        held the lease
    """
    await fleet.start_entry()
    await asyncio.sleep(SETTLE_S)
    holder = await find_holder(fleet)
    await holder.child.kill()
    fleet.entries.remove(holder)
    killed_ms = time.time() * MS_PER_S
    revision, sent_ms = await put_change(fleet, 4)
    await asyncio.sleep(FAIL_OVER_S)
    in_force = await measure_apply_times(fleet, {revision: sent_ms})
    events = await read_events(fleet, "watcher_changed")
    taken_ms = max(event["time_ms"] for event in events)
    await put_change(fleet, 2)
    return in_force[0], taken_ms - killed_ms


async def measure_fleet(size: int, seed: int, folder: Path) -> dict[str, Any]:
    """
    Measure a fleet of one size.

    :param size: number of entry host processes
    :param seed: seed of the stand-ins
    :param folder: folder for settings and logs
    :return: results by name
    """
    platform = Platform(folder=folder)
    fleet = Fleet(site=HIMAL, folder=folder, seed=seed, platform=platform)
    try:
        await platform.start()
        await fleet.start_upstreams(Behaviour())
        await fleet.declare_services()
        for _ in range(size):
            await fleet.start_entry()
        await asyncio.sleep(SETTLE_S)
        idle = await measure_idle(fleet)
        changes = await measure_changes(fleet)
        fail_overs = [await measure_fail_over(fleet) for _ in range(FAIL_OVERS)]
    finally:
        await fleet.stop()
    return {
        "hosts": size,
        "machine_load": round(os.getloadavg()[0], 1),
        "quiet": idle,
        "change": summarize(changes),
        "change_as_holder_dies": summarize([one for one, _ in fail_overs]),
        "without_holder": summarize([one for _, one in fail_overs]),
    }


@app.default
def main(*, seed: int = 1, hosts: list[int] | None = None, out: Path = RESULT) -> None:
    """
    Run the benchmark.

    :param seed: seed of the stand-ins
    :param hosts: fleet sizes in entry hosts, the default sizes if None
    :param out: file for the results
    """

    async def run_all() -> list[dict[str, Any]]:
        rows = []
        for size in hosts or list(FLEETS):
            with tempfile.TemporaryDirectory() as folder:
                rows.append(await measure_fleet(size, seed, Path(folder)))
            print(json.dumps(rows[-1], indent=1), flush=True)
        return rows

    rows = asyncio.run(run_all())
    result: dict[str, Any] = {"seed": seed, "fleets": rows}
    if len(rows) > 1:
        points = [(row["hosts"], row["change"]["p99_ms"]) for row in rows]
        cores = [
            (row["hosts"], row["quiet"]["whole_process_core_mean"]) for row in rows
        ]
        result["slopes"] = {
            "change_p99_ms_per_host": round(fit_slope(points), 4),
            "whole_process_core_per_host": round(fit_slope(cores), 6),
        }
    out.write_text(json.dumps(result, indent=2) + "\n", encoding="utf-8")


if __name__ == "__main__":
    app()
