"""Benchmark of configuration propagation, failover and control traffic in virtual time.

Run ``python -m bench.state --seed 1``; it writes bench/results/state.json.
"""

import argparse
import json
import logging
import math
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import structlog

from mangohatch.config import ServiceSpec, UpstreamSpec
from mangohatch.peer.codec import encode
from standins.state_hosts import StateHosts
from standins.virtual_loop import VirtualLoop

__all__ = ["measure_fleet"]

RESULT = Path(__file__).resolve().parent / "results" / "state.json"
FLEETS = (3, 8, 17)
SERVICE = "booking-desk"
UPSTREAMS = 20
CHANGES = 100
FAIL_OVERS = 20
SETTLE_MS = 6000.0
IDLE_MS = 60_000.0
OUTAGE_MS = 120_000.0
CHANGE_TIMEOUT_MS = 30_000.0
MS_PER_S = 1000.0
TARGET_APPLY_MS = 6000.0
TARGET_BYTES_PER_SECOND = 12 * 1024
TARGET_CORE = 0.014


def make_service(name: str, upstreams: int, slots: int = 2) -> ServiceSpec:
    """
    Create a service specification.

    :param name: name of the service
    :param upstreams: number of upstreams
    :param slots: slots of each upstream
    :return: service specification
    """
    return ServiceSpec(
        name=name,
        path_prefix=f"/{name}",
        upstreams=tuple(
            UpstreamSpec(
                name=f"u{number}",
                address="127.0.0.1",
                port=20_000 + number,
                zone="bagmati-a",
                slots=slots,
            )
            for number in range(upstreams)
        ),
    )


@dataclass(slots=True, kw_only=True)
class SentBytes:
    """Encoded bytes of sent messages, by host."""

    by_host: Counter[str] = field(default_factory=Counter)

    def record(self, sender: str, message: Any) -> None:
        """
        Count the encoded bytes of a sent message.

        :param sender: id of the sending host
        :param message: sent message
        """
        data = encode(message, sender=sender, incarnation=1, time_ms=1.0, count=1)
        self.by_host[sender] += len(data)


def percentile(values: list[float], percent: float) -> float:
    """
    Compute a percentile by the nearest-rank method.

    :param values: at least one value
    :param percent: percentile, 0 to 100
    :return: percentile, rounded to one decimal
    """
    ordered = sorted(values)
    rank = math.ceil(percent / 100 * len(ordered))
    return round(ordered[max(rank, 1) - 1], 1)


def summarize(values: list[float]) -> dict[str, float]:
    """
    Summarize durations.

    :param values: durations in milliseconds
    :return: count, median, 99th percentile and maximum
    """
    return {
        "count": len(values),
        "p50_ms": percentile(values, 50),
        "p99_ms": percentile(values, 99),
        "max_ms": round(max(values), 1),
    }


class Fleet:
    """Hosts under measurement on a virtual event loop."""

    def __init__(self, *, size: int, seed: int, services: int = 1) -> None:
        self.loop = VirtualLoop()
        self.hosts = StateHosts(loop=self.loop, seed=seed)
        self.sent = SentBytes()
        self.hosts.network.observers.append(self.sent.record)
        self._slots = 2
        self._ids = 0
        for number in range(services):
            name = SERVICE if number == 0 else f"service-{number}"
            self.hosts.write(make_service(name, UPSTREAMS))
        for _ in range(size):
            self.add()
        self.loop.run_for(SETTLE_MS)

    def add(self) -> str:
        """
        Start a host.

        :return: id of the host
        """
        self._ids += 1
        return self.hosts.add(f"e{self._ids}").host_id

    def change(self) -> float:
        """
        Change the service and wait until all hosts have applied the change.

        :return: milliseconds until the last host applied it
        """
        self._slots = 2 if self._slots == 3 else 3
        spec = make_service(SERVICE, UPSTREAMS, self._slots)
        return self.hosts.wait_until_active(
            SERVICE, self.hosts.write(spec).revision, CHANGE_TIMEOUT_MS
        )

    def holder(self) -> str:
        """
        Return the holder of the lease.

        :return: id of the host
        """
        return self.hosts.holders()[0].host_id

    def store_calls(self, duration_ms: float) -> dict[str, float]:
        """
        Count the store calls over a period of virtual time.

        :param duration_ms: length of the period in milliseconds
        :return: calls per second by role and kind
        """
        before = self.hosts.objects.calls.copy()
        self.loop.run_for(duration_ms)
        after = self.hosts.objects.calls
        return {
            f"{role}/{call}": round(
                (after[(role, call)] - before[(role, call)]) / duration_ms * MS_PER_S, 3
            )
            for role, call in sorted(after)
            if after[(role, call)] > before[(role, call)]
        }


def measure_idle(fleet: Fleet) -> dict[str, Any]:
    """
    Measure a period without changes.

    :param fleet: hosts under measurement
    :return: store calls, bytes and processor time
    """
    fleet.sent.by_host.clear()
    started_s = time.process_time()
    calls = fleet.store_calls(IDLE_MS)
    used_s = time.process_time() - started_s
    holder = fleet.holder()
    size = len(fleet.hosts.live)
    seconds = IDLE_MS / MS_PER_S
    others = [fleet.sent.by_host[host] for host in fleet.hosts.live if host != holder]
    return {
        "store_calls_per_second": calls,
        "holder_bytes_per_second": round(fleet.sent.by_host[holder] / seconds, 1),
        "standby_bytes_per_second": round(max(others) / seconds, 1),
        "core_per_host": round(used_s / seconds / size, 6),
    }


def measure_changes(fleet: Fleet) -> list[float]:
    """
    Measure sequential changes.

    :param fleet: hosts under measurement
    :return: milliseconds until all hosts applied each change
    """
    times = []
    for _ in range(CHANGES):
        fleet.loop.run_for(137.0)
        times.append(fleet.change())
    return times


def measure_fail_overs(fleet: Fleet) -> Iterator[tuple[float, float]]:
    """
    Measure changes made when the holder is killed, and the time without a holder.

    :param fleet: hosts under measurement
    :return: milliseconds until all hosts applied the change, and until another host
        holds the lease
    """
    for _ in range(FAIL_OVERS):
        fleet.add()
        fleet.loop.run_for(SETTLE_MS + 137.0)
        fleet.hosts.kill(fleet.holder())
        killed_ms = fleet.loop.time() * MS_PER_S
        in_force_ms = fleet.change()
        while not fleet.hosts.holders():
            fleet.loop.run_for(20.0)
        yield in_force_ms, fleet.loop.time() * MS_PER_S - killed_ms


def measure_outage(fleet: Fleet) -> dict[str, Any]:
    """
    Measure a store outage and the first change after it.

    :param fleet: hosts under measurement
    :return: store calls per second in the outage, and milliseconds until a new host
        was ready and until a change after the outage was applied
    """
    faults = fleet.hosts.objects.faults
    faults.outage = True
    fleet.loop.run_for(OUTAGE_MS)
    calls = fleet.store_calls(OUTAGE_MS)
    new_host = fleet.add()
    started_ms = fleet.loop.time() * MS_PER_S
    while not fleet.hosts.live[new_host].state.ready():
        fleet.loop.run_for(10.0)
    ready_ms = fleet.loop.time() * MS_PER_S - started_ms
    faults.outage = False
    in_force_ms = fleet.change()
    return {
        "store_calls_per_second": calls,
        "new_host_ready_ms": round(ready_ms, 1),
        "change_after_outage_ms": round(in_force_ms, 1),
    }


def measure_fleet(size: int, seed: int) -> dict[str, Any]:
    """
    Measure a fleet of one size.

    :param size: number of hosts
    :param seed: seed of all random numbers
    :return: results by name
    """
    fleet = Fleet(size=size, seed=seed)
    idle = measure_idle(fleet)
    changes = measure_changes(fleet)
    fail_overs = list(measure_fail_overs(fleet))
    outage = measure_outage(fleet)
    fleet.loop.shutdown()
    return {
        "hosts": size,
        "quiet": idle,
        "change": summarize(changes),
        "change_as_holder_dies": summarize([one for one, _ in fail_overs]),
        "without_holder": summarize([one for _, one in fail_overs]),
        "outage": outage,
    }


def measure_size(services: int, seed: int) -> dict[str, Any]:
    """
    Measure eight hosts with many services, and a ninth that joins in an outage.

    :param services: number of services, each with 20 upstreams
    :param seed: seed of all random numbers
    :return: results by name
    """
    fleet = Fleet(size=8, seed=seed, services=services)
    idle = measure_idle(fleet)
    fleet.hosts.objects.faults.outage = True
    fleet.sent.by_host.clear()
    new_host = fleet.add()
    started_ms = fleet.loop.time() * MS_PER_S
    while not fleet.hosts.live[new_host].state.ready():
        fleet.loop.run_for(10.0)
    ready_ms = fleet.loop.time() * MS_PER_S - started_ms
    sent = sum(fleet.sent.by_host.values())
    fleet.loop.shutdown()
    return {
        "services": services,
        "holder_bytes_per_second": idle["holder_bytes_per_second"],
        "standby_bytes_per_second": idle["standby_bytes_per_second"],
        "core_per_host": idle["core_per_host"],
        "join_ready_ms": round(ready_ms, 1),
        "join_bytes_of_all_hosts": sent,
    }


def fit_slope(points: list[tuple[float, float]]) -> float:
    """
    Fit a line by least squares.

    :param points: at least two pairs of x and y
    :return: slope of the line
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return covariance / sum((x - mean_x) ** 2 for x, _ in points)


def make_slopes(fleets: list[dict[str, Any]]) -> dict[str, float]:
    """
    Compute how results grow with the number of hosts.

    :param fleets: results, one entry per fleet size
    :return: growth per host by name
    """

    def grow(read: Any) -> float:
        return round(fit_slope([(row["hosts"], read(row)) for row in fleets]), 4)

    return {
        "holder_bytes_per_second_per_host": grow(
            lambda row: row["quiet"]["holder_bytes_per_second"]
        ),
        "standby_bytes_per_second_per_host": grow(
            lambda row: row["quiet"]["standby_bytes_per_second"]
        ),
        "store_calls_per_second_per_host": grow(
            lambda row: sum(row["quiet"]["store_calls_per_second"].values())
        ),
        "outage_calls_per_second_per_host": grow(
            lambda row: sum(row["outage"]["store_calls_per_second"].values())
        ),
        "change_p99_ms_per_host": grow(lambda row: row["change"]["p99_ms"]),
    }


def main() -> None:
    """Run the benchmark, print the result and write it to ``RESULT``."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    fleets = [measure_fleet(size, seed) for size in FLEETS]
    result = {
        "seed": seed,
        "targets": {
            "in_force_ms": TARGET_APPLY_MS,
            "bytes_per_second": TARGET_BYTES_PER_SECOND,
            "core": TARGET_CORE,
        },
        "fleets": fleets,
        "slopes": make_slopes(fleets),
        "sizes": [measure_size(services, seed) for services in (1, 100, 520)],
    }
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps(result, indent=2) + "\n")
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
