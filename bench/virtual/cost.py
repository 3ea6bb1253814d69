"""Processor time of decisions by number of known upstreams."""

import random
import time
from dataclasses import dataclass

from bench.virtual.bus import Fleet
from bench.virtual.loop import EventLoop, LoopTimers
from mangohatch.config import ServiceSpec, UpstreamSpec
from mangohatch.core.call import Call, Decision, Grant, Report, Result
from mangohatch.core.choice.tokens import TokenChooser
from mangohatch.core.health import OutlierHealth
from mangohatch.core.router import Router
from mangohatch.core.tables import Tables

__all__ = ["COST_SIZES", "DecisionCost", "measure_costs"]

COST_SIZES = (10, 100, 1_000)
REQUESTS = 4_000
IN_FLIGHT = 8
REQUEST_INTERVAL_MS = 0.5
NS_PER_US = 1000.0
SERVICE = "costly"


@dataclass(slots=True, kw_only=True)
class DecisionCost:
    """Mean time of a request and a release at the host that brokers the service."""

    upstreams: int
    request_us: float
    release_us: float

    @property
    def total_us(self) -> float:
        """Sum of the request and release times in microseconds."""
        return self.request_us + self.release_us


def make_router(upstreams: int) -> tuple[EventLoop, Router]:
    """
    Create the router of a host that is the only member and therefore the broker.

    :param upstreams: number of upstreams
    :return: event loop and router
    """
    loop = EventLoop()
    bus = Fleet(loop=loop).join("h00", "puno")
    tables = Tables()
    tables.apply(make_spec(upstreams), revision=1)
    rng = random.Random(1)
    health = OutlierHealth(clock=loop.clock, rng=rng)
    timers = LoopTimers(loop=loop)
    chooser = TokenChooser(
        clock=loop.clock, rng=rng, health=health, tables=tables, bus=bus, timers=timers
    )
    router = Router(
        clock=loop.clock,
        rng=rng,
        tables=tables,
        health=health,
        chooser=chooser,
        timers=timers,
    )
    return loop, router


def make_spec(upstreams: int) -> ServiceSpec:
    """
    Create a service with a given number of upstreams.

    :param upstreams: number of upstreams
    :return: service specification
    """
    return ServiceSpec(
        name=SERVICE,
        path_prefix="/",
        upstreams=tuple(
            UpstreamSpec(
                name=f"u{index:04d}", address="127.0.0.1", port=1 + index, zone="puno"
            )
            for index in range(upstreams)
        ),
    )


def measure_cost(upstreams: int) -> DecisionCost:
    """
    Measure requests and releases with ``IN_FLIGHT`` requests in flight.

    :param upstreams: number of upstreams
    :return: mean time of each operation
    """
    loop, router = make_router(upstreams)
    grants: list[Grant] = []

    def on_decision(decision: Decision) -> None:
        if isinstance(decision, Grant):
            grants.append(decision)

    request_ns = release_ns = 0
    for number in range(REQUESTS):
        loop.run(number * REQUEST_INTERVAL_MS)
        if number % 20 == 0:
            router.tick()
        now_ms = loop.clock.now_ms()
        call = Call(
            request_id=str(number),
            service=SERVICE,
            arrived_ms=now_ms,
            deadline_ms=now_ms + 1_000.0,
            idempotent=True,
        )
        started_ns = time.perf_counter_ns()
        router.request(call, on_decision)
        request_ns += time.perf_counter_ns() - started_ns
        while len(grants) > IN_FLIGHT:
            grant = grants.pop(0)
            report = Report(
                result=Result.OK, latency_ms=IN_FLIGHT * REQUEST_INTERVAL_MS
            )
            started_ns = time.perf_counter_ns()
            router.release(grant, report)
            release_ns += time.perf_counter_ns() - started_ns
    return DecisionCost(
        upstreams=upstreams,
        request_us=request_ns / REQUESTS / NS_PER_US,
        release_us=release_ns / REQUESTS / NS_PER_US,
    )


def measure_costs() -> list[DecisionCost]:
    """
    Measure the decision cost for each number of upstreams in ``COST_SIZES``.

    :return: costs in the order of ``COST_SIZES``
    """
    return [measure_cost(size) for size in COST_SIZES]
