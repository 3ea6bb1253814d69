"""Memory of the tables and of the event buffer of one host."""

from bench.slopes.base import Slope
from bench.slopes.cost import memory_bytes
from mangohatch.clock import ManualClock
from mangohatch.config import ServiceSpec, UpstreamSpec
from mangohatch.core.health.table import HealthTable
from mangohatch.core.quarantine.table import QuarantineTable
from mangohatch.core.tables import Tables
from mangohatch.timeline import EventKind, HybridClock, Recorder

__all__ = ["STATE_SLOPES", "make_spec"]

SIZES = (100, 300, 1_000)
EVENT_SIZES = (1_000, 5_000, 20_000)


def make_spec(name: str, upstreams: int) -> ServiceSpec:
    """
    Create a service specification.

    :param name: name of the service
    :param upstreams: number of upstreams
    :return: service specification
    """
    specs = [
        UpstreamSpec(
            name=f"{name}-{number}",
            address=f"10.0.{number // 250}.{number % 250 + 1}",
            port=8_000,
            zone="puno",
        )
        for number in range(upstreams)
    ]
    return ServiceSpec(name=name, path_prefix=f"/{name}", upstreams=tuple(specs))


class UpstreamMemory(Slope):
    """Configuration tables with one service of many upstreams."""

    name = "memory of an upstream"
    unit = "byte"
    per = "upstream"
    sizes = SIZES

    def measure(self, size: int) -> float:
        def build() -> object:
            tables = Tables()
            tables.apply(make_spec("service", size), revision=1)
            return tables

        return memory_bytes(build)


class ServiceMemory(Slope):
    """Configuration tables with many services without upstreams."""

    name = "memory of a service"
    unit = "byte"
    per = "service"
    sizes = (50, 150, 520)

    def measure(self, size: int) -> float:
        def build() -> object:
            tables = Tables()
            for number in range(size):
                tables.apply(make_spec(f"service-{number}", 0), revision=1)
            return tables

        return memory_bytes(build)


class HealthMemory(Slope):
    """Health rows of many upstreams."""

    name = "memory of a health row"
    unit = "byte"
    per = "upstream"
    sizes = SIZES

    def measure(self, size: int) -> float:
        tables = Tables()
        tables.apply(make_spec("service", size), revision=1)
        rows = list(tables.upstreams())

        def build() -> object:
            table = HealthTable()
            for row in rows:
                table.add(row, now_ms=0.0)
            return table

        return memory_bytes(build)


class QuarantineMemory(Slope):
    """Quarantine table with many requests."""

    name = "memory of a quarantined request"
    unit = "byte"
    per = "request"
    sizes = SIZES

    def measure(self, size: int) -> float:
        def build() -> object:
            table = QuarantineTable(clock=ManualClock())
            for number in range(size):
                table.record_crash("service", f"fingerprint-{number:016}", "u1")
            return table

        return memory_bytes(build)


class EventMemory(Slope):
    """Events in the buffer of the timeline."""

    name = "memory of an event"
    unit = "byte"
    per = "event"
    sizes = EVENT_SIZES

    def measure(self, size: int) -> float:
        def build() -> object:
            hybrid = HybridClock(clock=ManualClock())
            recorder = Recorder(host="entry-1", zone="puno", clock=hybrid)
            for number in range(size):
                recorder.record(EventKind.REQUEST_SLOW, request_id=f"entry-1-{number}")
            return recorder

        return memory_bytes(build)


STATE_SLOPES = (
    UpstreamMemory(),
    ServiceMemory(),
    HealthMemory(),
    QuarantineMemory(),
    EventMemory(),
)
