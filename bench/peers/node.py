"""Host process of the benchmark: a peer bus controlled through standard input."""

import asyncio
import json
import os
import random
import resource
import sys
import time

from mangohatch.clock import SystemClock
from mangohatch.peer.membership import Endpoint
from mangohatch.peer.messages.notices import UpstreamNotice
from mangohatch.peer.tcp import TcpPeerBus
from mangohatch.timeline import HybridClock, Recorder

LOOPBACK = "127.0.0.1"
ZONES = 3
SEEDS = 3
POLL_S = 0.005
ROUND_TRIPS = 2000
KIB = 1024


def make_bus(number: int, ports: list[int]) -> TcpPeerBus:
    """
    Create the peer bus of one host.

    :param number: number of the host
    :param ports: peer ports of all hosts
    :return: bus that is not started yet
    """
    clock = SystemClock()
    host_id = f"entry-{number}"
    zone = f"zone-{number % ZONES}"
    return TcpPeerBus(
        host_id=host_id,
        zone=zone,
        endpoint=Endpoint(LOOPBACK, ports[number]),
        admin_port=0,
        seeds=[Endpoint(LOOPBACK, port) for port in ports[:SEEDS]],
        clock=clock,
        rng=random.Random(number),
        recorder=Recorder(host=host_id, zone=zone, clock=HybridClock(clock=clock)),
    )


def read_usage(bus: TcpPeerBus) -> dict[str, float]:
    """
    Read the resource usage of this process since its start.

    :param bus: peer bus of this process
    :return: totals by name
    """
    counters = bus.counters
    return {
        "cpu_s": time.process_time(),
        "frames": counters.messages_sent.total() + counters.messages_received.total(),
        "bytes": counters.bytes_sent.total() + counters.bytes_received.total(),
        "dropped": counters.dropped.total(),
    }


async def measure(bus: TcpPeerBus, duration_s: float) -> dict[str, float]:
    """
    Measure the resource usage of this process over a period.

    :param bus: peer bus of this process
    :param duration_s: length of the period in seconds
    :return: usage per second, and the peak resident memory in MiB
    """
    before = read_usage(bus)
    started_s = time.monotonic()
    await asyncio.sleep(duration_s)
    passed_s = time.monotonic() - started_s
    after = read_usage(bus)
    used = {name: (after[name] - before[name]) / passed_s for name in before}
    used["rss_mib"] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KIB
    return used


async def wait_for_members(bus: TcpPeerBus, count: int) -> dict[str, float]:
    """
    Wait until this host lists a given number of live members.

    :param bus: peer bus of this process
    :param count: expected number of live members
    :return: wall-clock time in seconds at which the number was reached
    """
    while len(bus.members()) != count:
        await asyncio.sleep(POLL_S)
    return {"at_s": time.time()}


async def measure_round_trips(bus: TcpPeerBus, target: str) -> dict[str, float]:
    """
    Measure sequential round trips of a small message.

    :param bus: peer bus of this process
    :param target: id of the host that echoes the message
    :return: quantiles in microseconds
    """
    durations_us = []
    answered = asyncio.Event()
    bus.subscribe(UpstreamNotice, lambda sender, message: answered.set())
    for number in range(ROUND_TRIPS):
        answered.clear()
        started_s = time.perf_counter()
        notice = UpstreamNotice(service_name="booking-desk", revision=number)
        bus.send(target, notice)
        await answered.wait()
        durations_us.append((time.perf_counter() - started_s) * 1e6)
    durations_us.sort()
    return {
        "p50_us": durations_us[ROUND_TRIPS // 2],
        "p99_us": durations_us[ROUND_TRIPS * 99 // 100],
    }


async def run_commands(number: int, ports: list[int]) -> None:
    """
    Run commands from standard input until it is closed, then leave the fleet.

    :param number: number of the host
    :param ports: peer ports of all hosts
    """
    bus = make_bus(number, ports)
    await bus.start()
    if number == 1:
        bus.subscribe(UpstreamNotice, bus.send)
    loop = asyncio.get_running_loop()
    while True:
        line = await loop.run_in_executor(None, sys.stdin.readline)
        command, _, argument = line.strip().partition(" ")
        if command == "measure":
            answer = await measure(bus, float(argument))
        elif command == "members":
            answer = await wait_for_members(bus, int(argument))
        elif command == "trips":
            answer = await measure_round_trips(bus, argument)
        else:
            break
        print(json.dumps(answer), flush=True)
    await bus.stop()


def main() -> None:
    """Run the host with the number and the peer ports given on the command line."""
    import uvloop

    os.environ["UV_USE_IO_URING"] = "0"
    ports = [int(port) for port in sys.argv[2].split(",")]
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_commands(int(sys.argv[1]), ports))


if __name__ == "__main__":
    main()
