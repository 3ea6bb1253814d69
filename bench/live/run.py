"""Runs the cases of the live benchmark."""

import asyncio
import os
import random
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from bench.live.cases import (
    Case,
    Condition,
    behaviour_of,
    make_case_plan,
    rate_per_s,
)
from bench.live.usage import read_usage
from mangohatch.clock import Clock, SystemClock
from standins.caller import AttemptResult, Balancer, Caller, Record, evaluate
from standins.caller.verdict import is_lost, percentile
from standins.costs import collect_costs
from standins.fleet import Fleet
from standins.platform import Platform
from standins.sites import Site

__all__ = ["CaseResult", "run_condition"]

ENTRY_HOSTS = 4
FAULT_AT_MS = 2000.0
WARM_UP_REQUESTS = 200


@dataclass(slots=True, kw_only=True, frozen=True)
class CaseResult:
    """Results of one case."""

    site: str
    condition: str
    load: float
    seed: int
    requests: int
    offered_per_s: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    goodput: float
    refusals: float
    lost: int
    doubled: int
    mixed: int
    false_not_run: int
    unknown: int
    measuring_calls_per_request: float
    measuring_bytes_per_request: float
    store_calls_per_request: float
    entry_cpu_us_per_request: float
    caller_lag_p99_ms: float
    machine_load: float
    lost_requests: tuple[str, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class Totals:
    """Monotonic counters, read before and after a case."""

    measuring_calls: float
    measuring_bytes: float
    store_calls: float
    entry_cpu_ms: float


async def read_totals(fleet: Fleet) -> Totals:
    """
    Read the counters of a fleet.

    :param fleet: running processes
    :return: totals since the start of the processes
    """
    ledgers = await fleet.read_ledgers()
    costs = collect_costs(await fleet.read_metrics())
    calls = sum(ledger["measuring_calls"] for ledger in ledgers)
    size = sum(ledger["measuring_bytes"] for ledger in ledgers)
    cpu_ms = sum(read_usage(entry.child.pid).cpu_ms for entry in fleet.entries)
    return Totals(
        measuring_calls=calls + costs.measuring_calls,
        measuring_bytes=size + costs.measuring_bytes,
        store_calls=sum((await fleet.platform.read_calls()).values()),
        entry_cpu_ms=cpu_ms,
    )


async def cause_fault(fleet: Fleet, condition: Condition) -> None:
    """
    Inject the fault of a condition, if it has one, after ``FAULT_AT_MS``.

    :param fleet: running processes
    :param condition: condition of the upstreams
    """
    await asyncio.sleep(FAULT_AT_MS / 1000)
    victim = fleet.upstreams[0]
    if condition is Condition.SILENT:
        await fleet.control(victim, action="silence")
    elif condition is Condition.CRASH:
        await fleet.control(victim, action="crash")


async def warm_up(case: Case, balancer: Balancer, clock: Clock) -> None:
    """
    Send warm-up requests that are not part of the results.

    :param case: case to run next
    :param balancer: spreads requests over the entry hosts
    :param clock: source of time
    """
    rng = random.Random(case.seed)
    caller = Caller(balancer=balancer, clock=clock, rng=rng)
    warm = Case(
        site=case.site, condition=case.condition, load=0.2, seed=case.seed + 1000
    )
    await caller.run(make_case_plan(warm)[:WARM_UP_REQUESTS])


async def run_case(case: Case, fleet: Fleet, balancer: Balancer) -> CaseResult:
    """
    Run one case on running processes.

    :param case: case to run
    :param fleet: running processes of the site
    :param balancer: spreads requests over the entry hosts
    :return: results of the case
    """
    clock = SystemClock()
    await warm_up(case, balancer, clock)
    caller = Caller(balancer=balancer, clock=clock, rng=random.Random(case.seed))
    before = await read_totals(fleet)
    await asyncio.gather(
        caller.run(make_case_plan(case)), cause_fault(fleet, case.condition)
    )
    after = await read_totals(fleet)
    return summarize(case, caller.records, await fleet.read_ledgers(), before, after)


def summarize(
    case: Case,
    records: Sequence[Record],
    ledgers: Sequence[dict],
    before: Totals,
    after: Totals,
) -> CaseResult:
    """
    Compute the results of a case.

    :param case: case that was run
    :param records: requests with their attempts as recorded by callers
    :param ledgers: runs recorded by each upstream
    :param before: counters at the start of the case
    :param after: counters at the end of the case
    :return: results of the case
    """
    verdict = evaluate(records, ledgers)
    done = [item for item in records if item.result is AttemptResult.DONE]
    latencies = [item.latency_ms for item in done]
    attempts = [attempt for item in records for attempt in item.attempts]
    refused = sum(attempt.result is AttemptResult.NOT_RUN for attempt in attempts)
    count = max(1, len(records))
    cpu_ms = after.entry_cpu_ms - before.entry_cpu_ms
    calls = after.measuring_calls - before.measuring_calls
    size = after.measuring_bytes - before.measuring_bytes
    return CaseResult(
        site=case.site.name,
        condition=case.condition,
        load=case.load,
        seed=case.seed,
        requests=len(records),
        offered_per_s=round(rate_per_s(case), 1),
        p50_ms=round(percentile(latencies, 0.5), 2),
        p99_ms=round(percentile(latencies, 0.99), 2),
        p999_ms=round(percentile(latencies, 0.999), 2),
        goodput=round(len(done) / count, 4),
        refusals=round(refused / max(1, len(attempts)), 4),
        lost=verdict.lost,
        doubled=verdict.doubled,
        mixed=verdict.mixed,
        false_not_run=verdict.false_not_run,
        unknown=verdict.unknown,
        measuring_calls_per_request=round(calls / count, 4),
        measuring_bytes_per_request=round(size / count, 2),
        store_calls_per_request=round(
            (after.store_calls - before.store_calls) / count, 4
        ),
        entry_cpu_us_per_request=round(cpu_ms * 1000 / count, 1),
        caller_lag_p99_ms=round(percentile([r.lag_ms for r in records], 0.99), 2),
        machine_load=round(os.getloadavg()[0], 2),
        lost_requests=tuple(describe(item) for item in records if is_lost(item)),
    )


def describe(record: Record) -> str:
    """
    Describe a request by the results of its attempts.

    :param record: request with its attempts as recorded by the caller
    :return: one line of text
    """
    attempts = ", ".join(
        f"{item.result} {item.status} {item.code}".strip() for item in record.attempts
    )
    request = record.request
    return f"{request.request_id} at {request.at_ms:.0f} ms: {attempts}"


async def run_condition(
    site: Site, condition: Condition, loads: Sequence[float], seed: int
) -> list[CaseResult]:
    """
    Run all loads of a condition on a fresh set of processes.

    :param site: site to run
    :param condition: condition of the upstreams
    :param loads: loads as shares of the capacity
    :param seed: seed of load, slowdowns and choices of callers
    :return: results of each case
    """
    results = []
    with tempfile.TemporaryDirectory(prefix="mangohatch-live-") as folder:
        platform = Platform(folder=Path(folder))
        fleet = Fleet(site=site, folder=Path(folder), seed=seed, platform=platform)
        balancer = Balancer(rng=random.Random(seed))
        try:
            await platform.start()
            await fleet.start_upstreams(behaviour_of(condition))
            await fleet.declare_services()
            for _ in range(ENTRY_HOSTS):
                balancer.add((await fleet.start_entry()).entry)
            for load in loads:
                case = Case(site=site, condition=condition, load=load, seed=seed)
                results.append(await run_case(case, fleet, balancer))
        finally:
            balancer.close()
            await fleet.stop()
    return results
