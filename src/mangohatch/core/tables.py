"""Entities of the decision core, held in tables."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from mangohatch.config.service import ServiceSpec, UpstreamSpec

__all__ = ["DrainCause", "ServiceRow", "Tables", "UpstreamRow", "UpstreamState"]


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
    requests that the upstream runs at once.
    """

    service: str
    name: str
    address: str
    port: int
    zone: str
    slots: int
    connections: int
    state: UpstreamState = UpstreamState.ACTIVE
    in_flight: int = 0
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
    """A service with its upstreams by name; ``revision`` orders its configuration."""

    spec: ServiceSpec
    revision: int = 0
    upstreams: dict[str, UpstreamRow] = field(default_factory=dict)


class Tables:
    """All tables of one host."""

    def __init__(self) -> None:
        self.services: dict[str, ServiceRow] = {}

    def apply(self, spec: ServiceSpec, *, revision: int) -> bool:
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
    )
    if spec.draining:
        row.start_drain(DrainCause.ORDER)
    return row


def is_same_process(row: UpstreamRow, spec: UpstreamSpec) -> bool:
    """
    Tell whether a specification means the upstream of a row.

    :param row: the row
    :param spec: the checked specification of the same name
    :return: whether the address is the same
    """
    return (row.address, row.port) == (spec.address, spec.port)


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
