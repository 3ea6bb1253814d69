"""Entities of the decision core, held in tables."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from mangohatch.core.load import LoadView
from mangohatch.core.routes import RouteTable
from mangohatch.core.spec import UpstreamSpec

__all__ = ["DrainCause", "ServiceRow", "Tables", "UpstreamRow", "UpstreamState"]


RESPONSE_GAIN = 0.1  # about the last ten responses count


class UpstreamState(StrEnum):
    """Whether an upstream takes new work."""

    ACTIVE = "active"
    WARMING = "warming"
    EJECTED = "ejected"
    DRAINING = "draining"


class DrainCause(StrEnum):
    """Who said that an upstream takes no new work."""

    ORDER = "order"
    LISTED = "listed"
    SIGN = "sign"


@dataclass(slots=True, kw_only=True)
class UpstreamRow:
    """
    What this host knows of one upstream.

    ``in_flight`` counts this host's own requests; ``slots`` is the number of
    requests that the upstream runs at once. ``started_ms`` tells starts of an upstream
    under one name apart; until ``warm_at_ms`` a new one is slow.
    """

    service: str
    name: str
    address: str
    port: int
    zone: str
    slots: int
    connections: int
    state: UpstreamState = UpstreamState.ACTIVE
    started_ms: float = 0.0
    warm_at_ms: float = 0.0
    in_flight: int = 0
    load: LoadView = field(default_factory=LoadView)
    drain_causes: set[DrainCause] = field(default_factory=set)

    def start_drain(self, cause: DrainCause) -> bool:
        """
        End new work.

        :param cause: who asks for it
        :return: whether new work was still allowed
        """
        began = not self.drain_causes
        self.drain_causes.add(cause)
        self.state = UpstreamState.DRAINING
        return began

    def end_drain(self, cause: DrainCause) -> bool:
        """
        Withdraw a cause; new work begins when none is left.

        :param cause: who asked for it
        :return: whether new work is allowed again
        """
        if cause not in self.drain_causes:
            return False
        self.drain_causes.discard(cause)
        if self.drain_causes:
            return False
        self.state = UpstreamState.ACTIVE
        return True


@dataclass(slots=True, kw_only=True)
class ServiceRow:
    """
    A service with its upstreams by name; ``revision`` orders its configuration.

    ``spec`` is a :class:`mangohatch.config.ServiceSpec`, or a
    :class:`mangohatch.core.spec.DiscoveredService` where upstreams register
    themselves; what reads more than their common fields belongs to one of the two.
    """

    spec: Any
    revision: int = 0
    upstreams: dict[str, UpstreamRow] = field(default_factory=dict)


class Tables:
    """All tables of one host."""

    def __init__(self) -> None:
        self.services: dict[str, ServiceRow] = {}
        self.routes = RouteTable()
        self.response_bytes: dict[str, float] = {}

    def apply(self, spec: Any, *, revision: int) -> bool:
        """
        Put a service's configuration in force, keeping state of known upstreams.

        :param spec: the checked configuration
        :param revision: its revision; one that is not newer is ignored
        :return: whether it was applied
        """
        current = self.services.get(spec.name)
        if current is not None and current.revision >= revision:
            return False
        known = current.upstreams if current else {}
        row = ServiceRow(spec=spec, revision=revision)
        for upstream in spec.upstreams:
            old = known.get(upstream.name)
            # Grants in flight refer to the row, so it must stay the same object.
            if old is not None and is_same_process(old, upstream):
                row.upstreams[upstream.name] = update_row(old, upstream)
            else:
                row.upstreams[upstream.name] = make_row(spec.name, upstream)
        self.services[spec.name] = row
        return True

    def record_response(self, route: str, size: int) -> None:
        """
        Learn how large the responses of a route are.

        :param route: name of the route
        :param size: bytes of one response
        """
        known = self.response_bytes.get(route, float(size))
        self.response_bytes[route] = known + RESPONSE_GAIN * (size - known)

    def remove(self, name: str, *, revision: int) -> bool:
        """
        Take a service out of force; requests in flight go on.

        :param name: name of the service
        :param revision: revision of the removal; one that is not newer is ignored
        :return: whether the service was removed
        """
        current = self.services.get(name)
        if current is None or current.revision >= revision:
            return False
        del self.services[name]
        return True

    def upstreams(self) -> Iterator[UpstreamRow]:
        """
        Iterate over every upstream.

        :return: rows in the order of services, then of declaration
        """
        for service in self.services.values():
            yield from service.upstreams.values()


def make_row(service: str, spec: UpstreamSpec) -> UpstreamRow:
    """
    Make the row of an upstream that was not known before.

    :param service: name of the service
    :param spec: the checked specification
    :return: the row
    """
    row = UpstreamRow(
        service=service,
        name=spec.name,
        address=spec.address,
        port=spec.port,
        zone=spec.zone,
        slots=spec.slots,
        connections=spec.connections,
        started_ms=spec.started_ms,
        warm_at_ms=spec.warm_at_ms,
    )
    if spec.draining:
        row.start_drain(DrainCause.ORDER)
    return row


def is_same_process(row: UpstreamRow, spec: UpstreamSpec) -> bool:
    """
    Tell whether a specification means the upstream of a row.

    :param row: the row
    :param spec: the checked specification of the same name
    :return: whether address and start are the same
    """
    known = (row.address, row.port, row.started_ms)
    return known == (spec.address, spec.port, spec.started_ms)


def update_row(row: UpstreamRow, spec: UpstreamSpec) -> UpstreamRow:
    """
    Bring the row of a known upstream up to date, its state kept.

    :param row: the row
    :param spec: the checked specification
    :return: the same row
    """
    row.zone = spec.zone
    row.slots = spec.slots
    row.connections = spec.connections
    if spec.draining:
        row.start_drain(DrainCause.ORDER)
    else:
        row.end_drain(DrainCause.ORDER)
    return row
