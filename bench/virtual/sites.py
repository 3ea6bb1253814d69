"""Sites and cases of the virtual-time benchmark."""

from dataclasses import dataclass, replace

from mangohatch.config import MeasuringBudget, ServiceSpec, UpstreamSpec

__all__ = ["CASES", "SITES", "Case", "Site"]

SAME_ZONE_MS = 0.1
OTHER_ZONE_MS = 0.5


@dataclass(slots=True, kw_only=True, frozen=True)
class Site:
    """A service whose upstreams and entry hosts are assigned to zones round-robin."""

    name: str
    service: str
    zones: tuple[str, ...]
    upstreams: int
    hosts: int
    slots: int = 2

    def make_spec(self) -> ServiceSpec:
        """
        Create the specification of the service.

        :return: the validated specification
        """
        return ServiceSpec(
            name=self.service,
            path_prefix=f"/{self.service}",
            measuring=MEASURING,
            upstreams=tuple(
                UpstreamSpec(
                    name=f"u{index:03d}",
                    address="127.0.0.1",
                    port=20_000 + index,
                    zone=self.zones[index % len(self.zones)],
                    slots=self.slots,
                )
                for index in range(self.upstreams)
            ),
        )


MEASURING = MeasuringBudget(
    calls_per_second=250.0, bytes_per_second=65_536.0, calls_per_request=0.6
)

SITES = {
    "himnario": Site(
        name="himnario",
        service="tablero-misa",
        zones=("arequipa", "puno", "cusco"),
        upstreams=30,
        hosts=15,
    ),
    "himal": Site(
        name="himal",
        service="booking-desk",
        zones=("bagmati-a", "bagmati-b", "bagmati-c"),
        upstreams=20,
        hosts=15,
    ),
}


@dataclass(slots=True, kw_only=True, frozen=True)
class Case:
    """
    Faults of a run.

    ``misreporting_share`` is the share of upstreams that report no load; times are
    in milliseconds from the start of the run.
    """

    name: str
    shifting: bool = True
    misreporting_share: float = 0.0
    fast_failer_ms: float | None = None
    slow_failer_ms: float | None = None
    crash_loop_ms: float | None = None
    killer_ms: float | None = None
    drain_ms: float | None = None
    cold_start_ms: float | None = None
    burst_ms: float | None = None
    resends: int = 0


CALM = Case(name="calm", shifting=False)
SHIFTING = Case(name="shifting")
FAULT_AT_MS = 700.0

CASES = {
    case.name: case
    for case in (
        CALM,
        SHIFTING,
        replace(SHIFTING, name="lying", misreporting_share=0.34),
        replace(SHIFTING, name="fast-failer", fast_failer_ms=FAULT_AT_MS),
        replace(SHIFTING, name="slow-failer", slow_failer_ms=FAULT_AT_MS),
        replace(SHIFTING, name="crash-loop", crash_loop_ms=FAULT_AT_MS),
        replace(SHIFTING, name="killer", killer_ms=FAULT_AT_MS),
        replace(SHIFTING, name="drain", drain_ms=FAULT_AT_MS),
        replace(SHIFTING, name="cold-start", cold_start_ms=FAULT_AT_MS),
        replace(SHIFTING, name="retry-storm", burst_ms=FAULT_AT_MS, resends=3),
    )
}
