"""Tables of the decision core: services, upstreams and routes."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from mangohatch.core.accounts import AccountTable
from mangohatch.core.cold_state import ColdState
from mangohatch.core.load import LoadView
from mangohatch.core.named_limit import NamedLimit
from mangohatch.core.routes import RouteTable
from mangohatch.core.spec import UpstreamSpec
from mangohatch.core.upstream_path import UpstreamPath
from mangohatch.core.upstream_signs import InstanceKey, UpstreamSigns
from mangohatch.core.zones import ZoneTable

__all__ = ["DrainCause", "ServiceRow", "Tables", "UpstreamRow", "UpstreamState"]


RESPONSE_GAIN = 0.1  # averages over about the last ten responses


class UpstreamState(StrEnum):
    """Whether an upstream accepts new requests."""

    ACTIVE = "active"
    WARMING = "warming"
    EJECTED = "ejected"
    DRAINING = "draining"


class DrainCause(StrEnum):
    """What causes an upstream to drain."""

    ORDER = "order"
    LISTED = "listed"
    SIGN = "sign"


@dataclass(slots=True, kw_only=True)
class UpstreamRow:
    """
    State of one upstream on this host.

    ``in_flight`` counts the requests of this host. ``slots`` is the number of requests
    that the upstream runs at once. ``started_ms`` distinguishes processes started under
    the same name. Until ``warm_at_ms`` on the monotonic clock, a new upstream is slow.
    ``reported`` is whether other hosts send this host the upstream's load reports.
    ``zones`` is the table of this host, which all of its rows share.
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
    reported: bool = True
    load: LoadView = field(default_factory=LoadView)
    limit: NamedLimit = field(default_factory=NamedLimit)
    cold: ColdState = field(default_factory=ColdState)
    signs: UpstreamSigns = field(default_factory=UpstreamSigns)
    path: UpstreamPath = field(default_factory=UpstreamPath)
    zones: ZoneTable = field(default_factory=ZoneTable)
    drain_causes: set[DrainCause] = field(default_factory=set)

    @property
    def instance(self) -> InstanceKey:
        """The process of the upstream."""
        return (self.service, self.name, self.address, self.port, self.started_ms)

    @property
    def limited(self) -> bool:
        """Whether requests need a permit: the upstream names a limit, or is cold."""
        return self.cold.cold or self.limit.named

    @property
    def limit_per_s(self) -> float:
        """Requests a second that the upstream takes, the lower one of both limits."""
        return min(self.limit.per_s, self.cold.limit_per_s)

    def start_drain(self, cause: DrainCause) -> bool:
        """
        Stop sending new requests to the upstream.

        :param cause: why the upstream drains
        :return: whether the drain is new, with no earlier cause
        """
        began = not self.drain_causes
        self.drain_causes.add(cause)
        self.state = UpstreamState.DRAINING
        return began

    def end_drain(self, cause: DrainCause) -> bool:
        """
        Withdraw a cause; the drain ends when no cause remains.

        :param cause: the cause, as passed to :meth:`start_drain`
        :return: whether the upstream accepts new requests again
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
    A service with its upstreams by name.

    ``revision`` is the revision of its configuration. ``spec`` is a
    :class:`mangohatch.config.ServiceSpec`, or a
    :class:`mangohatch.core.spec.DiscoveredService` where upstreams register
    themselves. Code that reads more than the fields common to both supports only one
    of the two.
    """

    spec: Any
    revision: int = 0
    upstreams: dict[str, UpstreamRow] = field(default_factory=dict)


class Tables:
    """
    All tables of one host.

    ``signs`` holds what upstream processes asked for, also of those without a row.
    ``zones`` decides which availability zones receive requests.
    """

    def __init__(self) -> None:
        self.services: dict[str, ServiceRow] = {}
        self.routes = RouteTable()
        self.zones = ZoneTable()
        self.accounts = AccountTable()
        self.response_bytes: dict[str, float] = {}
        self.signs: dict[InstanceKey, UpstreamSigns] = {}
        self._removed: dict[tuple[str, str], UpstreamRow] = {}

    def apply(self, spec: Any, *, revision: int) -> bool:
        """
        Apply a service's configuration, keeping the state of known upstreams.

        Requests in flight on removed upstreams continue. If such an upstream is added
        again meanwhile, it keeps its row.

        :param spec: the validated configuration
        :param revision: revision of the configuration; ignored unless it is newer than
            the active revision
        :return: whether the configuration was applied
        """
        current = self.services.get(spec.name)
        if current is not None and current.revision >= revision:
            return False
        known = current.upstreams if current else {}
        row = ServiceRow(spec=spec, revision=revision)
        for upstream in spec.upstreams:
            old = known.get(upstream.name) or self._take_removed(
                spec.name, upstream.name
            )
            # Grants in flight refer to the row, so its object must not be replaced.
            if old is not None and is_same_process(old, upstream):
                row.upstreams[upstream.name] = update_row(old, upstream)
            else:
                made = make_row(spec.name, upstream)
                made.zones = self.zones
                self._restore_signs(made)
                row.upstreams[upstream.name] = made
        self.services[spec.name] = row
        self._keep_removed(known, row.upstreams)
        return True

    def _take_removed(self, service: str, name: str) -> UpstreamRow | None:
        row = self._removed.pop((service, name), None)
        if row is None or not row.in_flight:
            return None
        row.load.forget_reports()
        row.reported = True
        return row

    def _restore_signs(self, row: UpstreamRow) -> None:
        signs = self.signs.get(row.instance)
        if signs is None:
            return
        row.signs = signs
        if signs.leaving:
            row.start_drain(DrainCause.SIGN)

    def _keep_removed(
        self, known: dict[str, UpstreamRow], current: dict[str, UpstreamRow]
    ) -> None:
        for key in [key for key, row in self._removed.items() if not row.in_flight]:
            del self._removed[key]
        for name, row in known.items():
            if row.in_flight and name not in current:
                self._removed[row.service, name] = row

    def record_response(self, route: str, size: int) -> None:
        """
        Record the size of one response, to estimate that of its route.

        :param route: name of the route
        :param size: size of the response in bytes
        """
        known = self.response_bytes.get(route, float(size))
        self.response_bytes[route] = known + RESPONSE_GAIN * (size - known)

    def remove(self, name: str, *, revision: int) -> bool:
        """
        Remove a service; its requests in flight continue.

        :param name: name of the service
        :param revision: revision of the removal; ignored unless it is newer than the
            active revision
        :return: whether the service was removed
        """
        current = self.services.get(name)
        if current is None or current.revision >= revision:
            return False
        del self.services[name]
        return True

    def upstreams(self) -> Iterator[UpstreamRow]:
        """
        Iterate over all upstreams of all services.

        :return: rows in the order of services, then in the order of their configuration
        """
        for service in self.services.values():
            yield from service.upstreams.values()


def make_row(service: str, spec: UpstreamSpec) -> UpstreamRow:
    """
    Create the row of a new upstream.

    :param service: name of the service
    :param spec: the validated configuration of the upstream
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
    row.cold.set_warm_up(spec.warm_up)
    if spec.draining:
        row.start_drain(DrainCause.ORDER)
    return row


def is_same_process(row: UpstreamRow, spec: UpstreamSpec) -> bool:
    """
    Return whether a configuration refers to the upstream process of a row.

    :param row: the row
    :param spec: the validated configuration of the upstream of the same name
    :return: whether address, port and start time are the same
    """
    known = (row.address, row.port, row.started_ms)
    return known == (spec.address, spec.port, spec.started_ms)


def update_row(row: UpstreamRow, spec: UpstreamSpec) -> UpstreamRow:
    """
    Update the row of a known upstream, keeping its state.

    :param row: the row
    :param spec: the validated configuration of the upstream
    :return: the same row
    """
    row.zone = spec.zone
    row.slots = spec.slots
    row.connections = spec.connections
    row.cold.set_warm_up(spec.warm_up)
    if spec.warm_up is not None:
        row.warm_at_ms = spec.warm_at_ms
    if spec.draining:
        row.start_drain(DrainCause.ORDER)
    else:
        row.end_drain(DrainCause.ORDER)
    return row
