"""Measures membership and peer links with 3, 8 and 17 processes, and larger fleets."""

import asyncio
import json
import os
import statistics
import sys
import time
from asyncio.subprocess import PIPE, Process
from pathlib import Path
from typing import Any

from cyclopts import App

from bench.peers.fit import fit_line
from standins.member_network import MemberNetwork
from standins.processes import free_ports

SIZES = (3, 8, 17)
VIRTUAL_SIZES = (17, 50, 100, 200)
VIRTUAL_SETTLE_MS = 180_000.0
VIRTUAL_MEASURE_MS = 30_000.0
MS_PER_S = 1000.0
HEADER_BYTES = 66
RESULTS = Path(__file__).resolve().parent.parent / "results" / "peers.json"
CORE_SHARE_TARGET = 0.014
BYTES_TARGET = 12_000.0

app = App(help=__doc__)


class Node:
    """A host that runs in a child process."""

    def __init__(self, *, process: Process) -> None:
        self._process = process

    @classmethod
    async def start(cls, number: int, ports: list[int]) -> "Node":
        """
        Start a host.

        :param number: number of the host
        :param ports: peer ports of all hosts
        :return: the started host
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bench.peers.node",
            str(number),
            ",".join(str(port) for port in ports),
            stdin=PIPE,
            stdout=PIPE,
            env=dict(os.environ),
        )
        return cls(process=process)

    async def send_command(self, command: str) -> dict[str, float]:
        """
        Send a command and wait for its reply.

        :param command: command line for :mod:`bench.peers.node`
        :return: figures by name
        """
        stdin, stdout = self._process.stdin, self._process.stdout
        assert stdin is not None and stdout is not None
        stdin.write(f"{command}\n".encode())
        await stdin.drain()
        return json.loads(await stdout.readline())

    async def leave(self) -> None:
        """Make the host leave the fleet and wait until its process ends."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        await self._process.wait()

    async def kill(self) -> None:
        """Kill the process so that the host disappears without leaving."""
        self._process.kill()
        await self._process.wait()


async def send_command_to_all(
    nodes: list[Node], command: str
) -> list[dict[str, float]]:
    """
    Send a command to several hosts concurrently.

    :param nodes: hosts to send to
    :param command: command line for :mod:`bench.peers.node`
    :return: replies in the order of the hosts
    """
    return list(await asyncio.gather(*(node.send_command(command) for node in nodes)))


async def wait_for_change(nodes: list[Node], count: int, started_s: float) -> float:
    """
    Wait until all hosts list a given number of live members.

    :param nodes: hosts to wait for
    :param count: expected number of live members
    :param started_s: wall-clock time of the change in seconds
    :return: seconds from the change until the last host listed that number
    """
    answers = await send_command_to_all(nodes, f"members {count}")
    return max(answer["at_s"] for answer in answers) - started_s


async def run_size(size: int, duration_s: float) -> dict[str, Any]:
    """
    Measure a fleet of processes.

    :param size: number of hosts
    :param duration_s: duration of the idle measurement in seconds
    :return: figures by name
    """
    ports = free_ports(size)
    started_s = time.time()
    nodes = [await Node.start(number, ports) for number in range(size)]
    joined_s = await wait_for_change(nodes, size, started_s)
    await asyncio.sleep(5.0)
    load = os.getloadavg()[0]
    used = await send_command_to_all(nodes, f"measure {duration_s}")
    round_trips = await nodes[0].send_command("trips entry-1")
    started_s = time.time()
    await nodes.pop().kill()
    died_s = await wait_for_change(nodes, size - 1, started_s)
    started_s = time.time()
    leaver = nodes.pop()
    _, left_s = await asyncio.gather(
        leaver.leave(), wait_for_change(nodes, size - 2, started_s)
    )
    for node in nodes:
        await node.leave()
    frames = statistics.mean(usage["frames"] for usage in used)
    payload = statistics.mean(usage["bytes"] for usage in used)
    return {
        "hosts": size,
        "load_average": load,
        "frame_bytes_per_s": payload,
        "frames_per_s": frames,
        "wire_bytes_per_s_estimate": payload + 2 * HEADER_BYTES * frames,
        "core_share": statistics.mean(usage["cpu_s"] for usage in used),
        "core_share_max": max(usage["cpu_s"] for usage in used),
        "rss_mib_max": max(usage["rss_mib"] for usage in used),
        "round_trip_p50_us": round_trips["p50_us"],
        "round_trip_p99_us": round_trips["p99_us"],
        "start_and_join_s": joined_s,
        "death_seen_by_all_s": died_s,
        "leave_seen_by_all_s": left_s,
    }


def run_virtual(size: int) -> dict[str, float]:
    """
    Count the messages of a larger fleet in virtual time.

    :param size: number of hosts
    :return: figures by name; bytes include both directions and the frame lengths
    """
    network = MemberNetwork(seed=1, zones=8)
    network.start_fleet(size)
    network.run(VIRTUAL_SETTLE_MS)
    agreed = all(len(node.live()) == size for node in network.running())
    messages, sent = network.messages, network.bytes
    network.run(VIRTUAL_MEASURE_MS)
    host_seconds = size * VIRTUAL_MEASURE_MS / MS_PER_S
    frames = 2 * (network.messages - messages) / host_seconds
    return {
        "hosts": size,
        "agreed": float(agreed),
        "frames_per_s": frames,
        "frame_bytes_per_s": 2 * (network.bytes - sent) / host_seconds + 4 * frames,
    }


def print_table(rows: list[dict[str, Any]]) -> None:
    """
    Print the figures, one line per fleet.

    :param rows: figures by name, one entry per fleet
    """
    for row in rows:
        print("  ".join(f"{name}={value:.5g}" for name, value in row.items()))


@app.default
def main(*, duration_s: float = 20.0, out: Path = RESULTS) -> int:
    """
    Run the benchmark.

    :param duration_s: duration of the idle measurement of each fleet in seconds
    :param out: file for the results
    :return: exit status, 1 if a host of the largest fleet exceeds a target
    """
    rows = [asyncio.run(run_size(size, duration_s)) for size in SIZES]
    virtual = [run_virtual(size) for size in VIRTUAL_SIZES]
    names = ("frame_bytes_per_s", "wire_bytes_per_s_estimate", "core_share")
    slopes = {
        name: fit_line([(row["hosts"], row[name]) for row in rows]) for name in names
    }
    print_table(rows)
    print_table(virtual)
    for name, (slope, base) in slopes.items():
        print(f"{name}: {slope:.4g} per host + {base:.4g}")
    document = {"processes": rows, "virtual": virtual, "slopes": slopes}
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
    last = rows[-1]
    target_missed = (
        last["core_share_max"] > CORE_SHARE_TARGET
        or last["wire_bytes_per_s_estimate"] > BYTES_TARGET
    )
    return 1 if target_missed else 0


if __name__ == "__main__":
    sys.exit(app())
