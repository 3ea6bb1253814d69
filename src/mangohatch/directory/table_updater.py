"""Applies the directory to the tables of a host."""

from collections.abc import Mapping, Sequence

import structlog

from mangohatch.clock import Clock
from mangohatch.core.spec import DiscoveredService, DiscoveredUpstream
from mangohatch.core.tables import Tables
from mangohatch.directory.content import Configuration, RegisteredUpstream
from mangohatch.entry.limits import CallerLimits

__all__ = ["TableUpdater"]

MAX_QUEUE_WAIT_MS = 600.0  # half of the shortest deadline at current sites

log = structlog.get_logger()


class TableUpdater:
    """
    Applies configuration and registered upstreams as this host receives them.

    :param clock: source of time
    :param tables: services, upstreams and routes; updated in place
    :param limits: limits for requests and connections of callers; updated in place
    """

    def __init__(self, *, clock: Clock, tables: Tables, limits: CallerLimits) -> None:
        self._clock = clock
        self._tables = tables
        self._limits = limits
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
        log.info(
            "configuration_in_force",
            version=config.version,
            revision=revision,
            routes=len(config.routes),
            services=len(config.services),
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
        self._upstreams = by_service
        self._apply()

    def _apply(self) -> None:
        if self._config is None:
            return
        self._revision += 1
        for name, options in self._config.services.items():
            spec = DiscoveredService(
                name=name,
                max_queue_wait_ms=MAX_QUEUE_WAIT_MS,
                health_path=options.health_path,
                upstreams=tuple(
                    self._make_upstream(item, options.connections)
                    for item in self._upstreams.get(name, ())
                ),
            )
            current = self._tables.services.get(name)
            if current is None or current.spec != spec:
                self._log_changes(spec, current.spec if current else None)
                self._tables.apply(spec, revision=self._revision)
        for name in set(self._tables.services) - set(self._config.services):
            self._tables.remove(name, revision=self._revision)

    def _make_upstream(
        self, item: RegisteredUpstream, connections: int
    ) -> DiscoveredUpstream:
        # The offset between the clocks varies slightly. The value of an existing row
        # is kept, so that an unchanged entry gives an equal specification.
        offset_ms = self._clock.wall_ms() - self._clock.now_ms()
        warm_at_ms = item.warm_wall_ms - offset_ms
        current = self._tables.services.get(item.service)
        row = current.upstreams.get(item.name) if current else None
        if row is not None and row.started_ms == item.started_ms:
            warm_at_ms = row.warm_at_ms
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
