"""Cost per host at the design size, derived from measured slopes."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bench.slopes.base import Fit

__all__ = ["DESIGN", "Design", "derive_rows", "make_design_table"]

US_PER_S = 1_000_000
SECONDS_PER_DAY = 86_400
MIB = 1024 * 1024
RETAINED_EVENTS = 20_000
QUARANTINED_REQUESTS = 1_000


@dataclass(slots=True, kw_only=True, frozen=True)
class Design:
    """
    Design size and assumptions about a host.

    ``utilization`` is the share of a core that requests may use. ``slot_calls`` and
    ``slot_bytes`` are the calls and bytes per request of a fully coordinated service,
    as counted by the virtual-time benchmark.
    """

    calls_per_second: int = 1_300_000
    upstreams: int = 8_600
    services: int = 520
    changes_per_day: int = 4_000
    utilization: float = 0.6
    process_mib: float = 45.0
    connections: int = 1_000
    slot_calls: float = 0.43
    slot_bytes: float = 190.0
    fanout: int = 8
    service_bytes: int = 2_300


DESIGN = Design()


@dataclass(slots=True, kw_only=True, frozen=True)
class DerivedQuantity:
    """Derived quantity of a host at the design size; ``basis`` lists its inputs."""

    quantity: str
    value: str
    target: str
    basis: str


def derive_rows(fits: Sequence[Fit], design: Design = DESIGN) -> list[DerivedQuantity]:
    """
    Derive the cost per host at the design size.

    :param fits: measured slopes
    :param design: design size
    :return: rows in the order of the table
    """
    slopes = {fit.name: fit.slope for fit in fits}
    request_us = slopes["request through an entry host"]
    hosts = math.ceil(
        design.calls_per_second * request_us / US_PER_S / design.utilization
    )
    return [
        DerivedQuantity(
            quantity="entry hosts",
            value=f"{hosts:,}",
            target="",
            basis=f"{request_us:.0f} us a request, {design.utilization:.0%} of a core",
        ),
        *derive_load(design, hosts, slopes),
        derive_memory(design, hosts, slopes),
        *derive_configuration(design, hosts, slopes),
    ]


def derive_load(
    design: Design, hosts: int, slopes: Mapping[str, float]
) -> list[DerivedQuantity]:
    """
    Derive requests and coordination per host.

    :param design: design size
    :param hosts: number of entry hosts
    :param slopes: measured slopes by name
    :return: rows
    """
    calls = design.calls_per_second / hosts
    broker_us = slopes["slot request and return at the broker"]
    shards = design.services / hosts
    broker_share = design.calls_per_second / design.services * shards
    broker_share *= design.slot_calls * broker_us / US_PER_S
    return [
        DerivedQuantity(
            quantity="calls a second and host",
            value=f"{calls:,.0f}",
            target="",
            basis="calls over hosts",
        ),
        DerivedQuantity(
            quantity="broker work, fully coordinated",
            value=f"{broker_share:.1%} of a core",
            target="1.4 % for all control",
            basis=f"{shards:.2f} shards a host, {design.slot_calls} calls a request",
        ),
        DerivedQuantity(
            quantity="slot messages, fully coordinated",
            value=f"{calls * design.slot_bytes / 1024:,.0f} KB/s",
            target="12 KB/s for all control",
            basis=f"{design.slot_bytes:.0f} bytes a request",
        ),
    ]


def derive_memory(
    design: Design, hosts: int, slopes: Mapping[str, float]
) -> DerivedQuantity:
    """
    Derive the memory per host.

    :param design: design size
    :param hosts: number of entry hosts
    :param slopes: measured slopes by name
    :return: memory with its parts in MiB
    """
    per_upstream = slopes["memory of an upstream"] + slopes["memory of a health row"]
    parts = {
        "process": design.process_mib,
        "upstreams": design.upstreams * per_upstream / MIB,
        "services": design.services * slopes["memory of a service"] / MIB,
        "peers": hosts * slopes["memory of a peer"] / MIB,
        "events": RETAINED_EVENTS * slopes["memory of an event"] / MIB,
        "quarantine": QUARANTINED_REQUESTS
        * slopes["memory of a quarantined request"]
        / MIB,
        "callers": (
            design.connections * slopes["memory of an idle caller's connection"] / MIB
        ),
    }
    basis = ", ".join(f"{name} {value:.1f}" for name, value in parts.items())
    return DerivedQuantity(
        quantity="memory",
        value=f"{sum(parts.values()):.0f} MiB",
        target="128 MB",
        basis=basis,
    )


def derive_configuration(
    design: Design, hosts: int, slopes: Mapping[str, float]
) -> list[DerivedQuantity]:
    """
    Derive the cost of configuration changes per host.

    :param design: design size
    :param hosts: number of entry hosts
    :param slopes: measured slopes by name
    :return: rows
    """
    changes = design.changes_per_day / SECONDS_PER_DAY
    sent = changes * design.service_bytes * design.fanout / 1024
    change_us = slopes["configuration change"]
    push_us = slopes["configuration push, encoded and decoded"]
    share = changes * (change_us + push_us * (1 + design.fanout)) / US_PER_S
    hops = math.ceil(math.log(max(hosts, 2), design.fanout))
    return [
        DerivedQuantity(
            quantity="configuration, bytes",
            value=f"{sent:.2f} KB/s",
            target="12 KB/s for all control",
            basis=f"{changes:.3f} changes a second to {design.fanout} peers each",
        ),
        DerivedQuantity(
            quantity="configuration, processor time",
            value=f"{share:.4%} of a core",
            target="1.4 % for all control",
            basis=f"{change_us:.0f} us a change, {push_us:.0f} us a push",
        ),
        DerivedQuantity(
            quantity="hops of a push",
            value=f"{hops}",
            target="in force within 6 s",
            basis=f"fan-out of {design.fanout} over {hosts:,} hosts",
        ),
    ]


def make_design_table(rows: Sequence[DerivedQuantity]) -> str:
    """
    Render the derived quantities as a Markdown table.

    :param rows: derived quantities
    :return: Markdown text
    """
    lines = ["| Quantity of a host | Value | Target | From |", "|---|---|---|---|"]
    for row in rows:
        lines.append(f"| {row.quantity} | {row.value} | {row.target} | {row.basis} |")
    return "\n".join(lines)
