"""Processor time of decisions, events and configuration changes at one host."""

import random

from bench.slopes.base import Slope
from bench.slopes.cost import cpu_us
from bench.slopes.state import make_spec
from mangohatch.clock import ManualClock, SystemClock
from mangohatch.config import ServiceSpec
from mangohatch.core.call import Call, Report, Result
from mangohatch.core.health import OutlierHealth
from mangohatch.core.router import Router
from mangohatch.core.tables import Tables
from mangohatch.timeline import EventKind, HybridClock, Recorder

__all__ = ["WORK_SLOPES"]

SIZES = (500, 1_000, 2_000)
UPSTREAMS = 100
OK = Report(result=Result.OK, latency_ms=5.0)


def make_call(number: int) -> Call:
    """
    Create a call of the measured service.

    :param number: number that makes the request id unique
    :return: idempotent call without an effective deadline
    """
    return Call(
        request_id=f"entry-1-{number}",
        service="service",
        arrived_ms=0.0,
        deadline_ms=1e12,
        idempotent=True,
    )


class DecisionTime(Slope):
    """Decisions and releases of the router with health tracking and without leases."""

    name = "decision by least in flight at 100 upstreams"
    unit = "us"
    per = "request"
    sizes = SIZES

    def measure(self, size: int) -> float:
        clock = ManualClock()
        tables = Tables()
        tables.apply(make_spec("service", UPSTREAMS), revision=1)
        rng = random.Random(1)
        health = OutlierHealth(clock=clock, rng=rng)
        router = Router(clock=clock, rng=rng, tables=tables, health=health)
        calls = [make_call(number) for number in range(size)]

        def work() -> None:
            for call in calls:
                router.request(call, lambda decision: router.release(decision, OK))

        return cpu_us(work)


class RecordTime(Slope):
    """Events recorded in the timeline."""

    name = "record of an event"
    unit = "us"
    per = "event"
    sizes = (1_000, 5_000, 20_000)

    def measure(self, size: int) -> float:
        hybrid = HybridClock(clock=SystemClock())
        recorder = Recorder(host="entry-1", zone="puno", clock=hybrid)

        def work() -> None:
            for _ in range(size):
                recorder.record(EventKind.REQUEST_SLOW, request_id="entry-1-1")

        return cpu_us(work)


class ConfigTime(Slope):
    """Changes of a service with 17 upstreams, validated and applied."""

    name = "configuration change"
    unit = "us"
    per = "change"
    sizes = (50, 100, 200)

    def measure(self, size: int) -> float:
        tables = Tables()
        text = make_spec("service", 17).model_dump_json()

        def work() -> None:
            for revision in range(1, size + 1):
                spec = ServiceSpec.model_validate_json(text)
                tables.apply(spec, revision=revision)

        return cpu_us(work)


WORK_SLOPES = (DecisionTime(), RecordTime(), ConfigTime())
