"""Applies the directory to the tables of a host."""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

import structlog

from mangohatch.clock import Clock
from mangohatch.core.spec import DiscoveredService, DiscoveredUpstream
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import ServiceRow, Tables
from mangohatch.directory.assignment_log import AssignmentLog
from mangohatch.directory.content import Configuration, RegisteredUpstream
from mangohatch.entry.limits import CallerLimits
from mangohatch.peer.bus import MemberView

__all__ = ["TableUpdater"]

MAX_QUEUE_WAIT_MS = 5_000.0  # shares of deadlines bound most calls earlier
MAX_WARM_UP_MS = 10_000.0  # cold starts last for some seconds
MEMBERS_INTERVAL_MS = 250.0  # joins at the start of a site are applied together

log = structlog.get_logger()


class TableUpdater:
    """
    Applies configuration and registered upstreams as this host receives them.

    The tables hold the upstreams that are assigned to this host. Changes of members
    are applied at most every ``MEMBERS_INTERVAL_MS``, because hundreds of hosts may
    join within a second.

    :param clock: source of time
    :param tables: services, upstreams and routes; updated in place
    :param limits: limits for requests and connections of callers; updated in place
    :param subset: the hosts that use each upstream; updated in place
    :param members: returns the live members
    :param on_unused: called with a service name and the names of its registered
        upstreams that are not assigned to this host, when they may have changed
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tables: Tables,
        limits: CallerLimits,
        subset: SubsetTable,
        members: Callable[[], Sequence[MemberView]],
        on_unused: Callable[[str, frozenset[str]], None],
    ) -> None:
        self._clock = clock
        self._tables = tables
        self._limits = limits
        self._subset = subset
        self._members = members
        self._on_unused = on_unused
        self._known_members: Sequence[MemberView] = ()
        self._members_due_ms = -math.inf
        self._specs: dict[str, DiscoveredService] = {}
        self._assignment_log = AssignmentLog(clock=clock)
        self._config: Configuration | None = None
        self._upstreams: Mapping[str, Sequence[RegisteredUpstream]] = {}
        self._revision = 0

    def apply_configuration(self, config: Configuration, *, revision: int) -> None:
        """
        Apply a configuration.

        :param config: the configuration
        :param revision: its revision in the store; ignored unless newer than the
            active one
        """
        if not self._tables.routes.apply(config.routes, revision=revision):
            return
        self._tables.accounts.replace(config.accounts)
        log.info(
            "configuration_in_force",
            version=config.version,
            revision=revision,
            routes=len(config.routes),
            services=len(config.services),
            accounts=len(config.accounts),
        )
        self._config = config
        self._limits.head_bytes = config.limits.head_bytes
        self._limits.body_bytes = config.limits.body_bytes
        self._limits.head_timeout_ms = config.limits.head_timeout_ms
        self._limits.idle_timeout_ms = config.limits.idle_timeout_ms
        self._apply()

    def apply_upstreams(self, upstreams: Sequence[RegisteredUpstream]) -> None:
        """
        Replace all upstreams by the registered ones.

        :param upstreams: all registered upstreams
        """
        by_service: dict[str, list[RegisteredUpstream]] = {}
        for upstream in upstreams:
            by_service.setdefault(upstream.service, []).append(upstream)
        for service in self._upstreams.keys() - by_service.keys():
            self._subset.set_upstreams(service, ())
        for service, items in by_service.items():
            zones = {item.name: item.zone for item in items}
            self._subset.set_upstreams(service, zones, zones)
        self._upstreams = by_service
        self._apply()

    def tick(self) -> None:
        """Apply changes of the members."""
        now_ms = self._clock.now_ms()
        members = self._members()
        if members != self._known_members and now_ms >= self._members_due_ms:
            self._known_members = members
            self._members_due_ms = now_ms + MEMBERS_INTERVAL_MS
            self._subset.set_members(members)
            self._assign()
        self._assignment_log.tick()

    def _apply(self) -> None:
        if self._config is None:
            return
        for name, options in self._config.services.items():
            previous = self._specs.get(name)
            spec = DiscoveredService(
                name=name,
                max_queue_wait_ms=MAX_QUEUE_WAIT_MS,
                health_path=options.health_path,
                upstreams=self._make_upstreams(name, options.connections, previous),
            )
            if spec != previous:
                self._log_changes(spec, previous)
                self._specs[name] = spec
        for name in self._specs.keys() - self._config.services.keys():
            del self._specs[name]
            self._assignment_log.remove(name)
        self._assign()

    def _assign(self) -> None:
        self._revision += 1
        for name, spec in self._specs.items():
            names = self._subset.assigned(name)
            used = replace(
                spec,
                upstreams=tuple(item for item in spec.upstreams if item.name in names),
            )
            current = self._tables.services.get(name)
            self._mark_reported(name, current)
            registered = frozenset(item.name for item in spec.upstreams)
            if current is None or current.spec != used:
                self._tables.apply(used, revision=self._revision)
                self._mark_reported(name, self._tables.services[name])
                self._on_unused(name, registered - names)
            self._assignment_log.record(
                name, assigned=names, registered=registered, hosts=self._subset.hosts
            )
        for name in self._tables.services.keys() - self._specs.keys():
            self._tables.remove(name, revision=self._revision)

    def _mark_reported(self, service: str, current: ServiceRow | None) -> None:
        # The silence of an upstream that is gone from the store is evidence of a crash.
        rows = current.upstreams if current else {}
        for item in self._specs[service].upstreams:
            row = rows.get(item.name)
            if row is not None:
                users = self._subset.users(service, item.name)
                row.reported = self._subset.host_id in users

    def _make_upstreams(
        self, service: str, connections: int, previous: DiscoveredService | None
    ) -> tuple[DiscoveredUpstream, ...]:
        known = {item.name: item for item in previous.upstreams} if previous else {}
        return tuple(
            self._make_upstream(item, connections, known.get(item.name))
            for item in self._upstreams.get(service, ())
        )

    def _make_upstream(
        self,
        item: RegisteredUpstream,
        connections: int,
        known: DiscoveredUpstream | None,
    ) -> DiscoveredUpstream:
        # The offset between the clocks varies slightly. The known value is kept, so
        # that an unchanged entry gives an equal specification.
        offset_ms = self._clock.wall_ms() - self._clock.now_ms()
        # The time of day of this host, or of the one that read the entry, may be wrong.
        latest_ms = self._clock.now_ms() + MAX_WARM_UP_MS
        warm_at_ms = min(item.warm_wall_ms - offset_ms, latest_ms)
        if known is not None and known.started_ms == item.started_ms:
            warm_at_ms = known.warm_at_ms
        return DiscoveredUpstream(
            name=item.name,
            address=item.address,
            port=item.port,
            zone=item.zone,
            slots=item.slots,
            connections=connections,
            draining=item.draining,
            started_ms=item.started_ms,
            warm_at_ms=warm_at_ms,
        )

    @staticmethod
    def _log_changes(
        spec: DiscoveredService, previous: DiscoveredService | None
    ) -> None:
        known = {item.name: item for item in previous.upstreams} if previous else {}
        now = {item.name: item for item in spec.upstreams}
        draining = [
            name
            for name, item in now.items()
            if item.draining and not (name in known and known[name].draining)
        ]
        log.info(
            "upstreams_changed",
            service=spec.name,
            count=len(now),
            added=",".join(now.keys() - known.keys()),
            gone=",".join(known.keys() - now.keys()),
            draining=",".join(draining),
        )
