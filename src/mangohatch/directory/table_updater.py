"""Applies the directory to the tables of a host."""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

import structlog

from mangohatch.clock import Clock
from mangohatch.core.spec import DiscoveredService, DiscoveredUpstream
from mangohatch.core.subset import SubsetTable
from mangohatch.core.subset_places import SubsetPlaces
from mangohatch.core.tables import DrainCause, ServiceRow, Tables
from mangohatch.directory.assignment_log import AssignmentLog
from mangohatch.directory.content import (
    Configuration,
    RegisteredUpstream,
    ServiceOptions,
)
from mangohatch.entry.limits import CallerLimits
from mangohatch.peer.bus import MemberView

__all__ = ["TableUpdater"]

MAX_QUEUE_WAIT_MS = 5_000.0  # shares of deadlines bound most calls earlier
MAX_WARM_UP_MS = 10_000.0  # cold starts last for some seconds
MEMBERS_INTERVAL_MS = 250.0  # joins at the start of a site are applied together
# A changed assignment costs a hash for each upstream and each host of the zone. One
# that follows an entry that flaps ten times a second would use a whole core.
REOPEN_MS = 5_000.0

log = structlog.get_logger()


class TableUpdater:
    """
    Applies configuration and registered upstreams as this host receives them.

    The tables hold the upstreams that are assigned to this host. Changes of members
    are applied at most every ``MEMBERS_INTERVAL_MS``, because hundreds of hosts may
    join within a second. ``zone_table`` holds evacuations and the regions of zones.

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
        self.zone_table = tables.zones
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
        self._reopens_ms: dict[str, float] = {}

    def apply_configuration(self, config: Configuration, *, revision: int) -> None:
        """
        Apply a configuration.

        :param config: the configuration
        :param revision: its revision in the store; ignored unless newer than the
            active one
        """
        version = config.version
        routes = self._tables.routes
        if not routes.apply(config.routes, revision=revision, version=version):
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
        self._set_places(self._tables.zones.evacuated)
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

    def apply_evacuations(
        self, zones: frozenset[str], *, revision: int, peer: str
    ) -> None:
        """
        Replace the evacuated zones.

        :param zones: names of all evacuated zones
        :param revision: revision of the store at which they were read
        :param peer: the host that sent them, empty if this host read the store
        """
        # The choice of upstreams follows at once, so the other ones come first.
        for zone in zones:
            self._reopens_ms.pop(zone, None)
        for zone in self._tables.zones.evacuated - zones:
            self._reopens_ms[zone] = self._clock.now_ms() + REOPEN_MS
        self._set_places(zones)
        self._tables.zones.set_evacuated(zones, revision=revision, peer=peer)

    def apply_regions(self, regions: Mapping[str, str]) -> None:
        """
        Replace the regions of zones.

        :param regions: regions by zone
        """
        self._tables.zones.regions = regions
        self._set_places(self._tables.zones.evacuated)

    def known_zones(self) -> set[str]:
        """
        List the zones that are known.

        :return: zones with a region, and those of registered upstreams
        """
        registered = (item.zone for items in self._upstreams.values() for item in items)
        return {*self._tables.zones.regions, *registered}

    def _set_places(self, evacuated: frozenset[str]) -> None:
        routes = self._config.routes if self._config is not None else ()
        restricted = any(route.allowed_regions is not None for route in routes)
        places = SubsetPlaces(
            closed=evacuated | self._reopens_ms.keys(),
            regions=self._tables.zones.regions if restricted else {},
        )
        if self._subset.set_places(places):
            self._assign()

    def tick(self) -> None:
        """Apply changes of the members, and the ends of evacuations."""
        now_ms = self._clock.now_ms()
        reopened = [zone for zone, at_ms in self._reopens_ms.items() if now_ms >= at_ms]
        if reopened:
            for zone in reopened:
                del self._reopens_ms[zone]
            self._set_places(self._tables.zones.evacuated)
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
                upstreams=self._make_upstreams(name, options, previous),
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
            self._drain_gone(current, registered)
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

    @staticmethod
    def _drain_gone(current: ServiceRow | None, registered: frozenset[str]) -> None:
        # A request that was placed there may still wait for a connection.
        for name, row in current.upstreams.items() if current else ():
            if name not in registered:
                row.start_drain(DrainCause.ORDER)

    def _make_upstreams(
        self, service: str, options: ServiceOptions, previous: DiscoveredService | None
    ) -> tuple[DiscoveredUpstream, ...]:
        known = {item.name: item for item in previous.upstreams} if previous else {}
        return tuple(
            self._make_upstream(item, options, known.get(item.name))
            for item in self._upstreams.get(service, ())
        )

    def _make_upstream(
        self,
        item: RegisteredUpstream,
        options: ServiceOptions,
        known: DiscoveredUpstream | None,
    ) -> DiscoveredUpstream:
        # The offset between the clocks varies slightly. The known value is kept, so
        # that an unchanged entry gives an equal specification.
        offset_ms = self._clock.wall_ms() - self._clock.now_ms()
        # The time of day of this host, or of the one that read the entry, may be wrong.
        warm_up = options.warm_up
        longest_ms = max(MAX_WARM_UP_MS, warm_up.duration_ms if warm_up else 0.0)
        latest_ms = self._clock.now_ms() + longest_ms
        warm_at_ms = min(item.warm_wall_ms - offset_ms, latest_ms)
        # Where cold upstreams have a rate, an entry may name another cold state of the
        # same process.
        warm_wall_ms = item.warm_wall_ms if warm_up else 0.0
        if known is not None and known.started_ms == item.started_ms:
            if warm_wall_ms == known.warm_wall_ms:
                warm_at_ms = known.warm_at_ms
        return DiscoveredUpstream(
            name=item.name,
            address=item.address,
            port=item.port,
            zone=item.zone,
            slots=item.slots,
            connections=options.connections,
            draining=item.draining,
            started_ms=item.started_ms,
            warm_at_ms=warm_at_ms,
            warm_wall_ms=warm_wall_ms,
            warm_up=warm_up,
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
