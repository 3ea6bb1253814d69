"""Logs which upstreams are assigned to a host."""

from dataclasses import dataclass

import structlog

from mangohatch.clock import Clock

__all__ = ["AssignmentLog"]

LOG_INTERVAL_MS = 2_000.0  # members that join within seconds share a line

log = structlog.get_logger()


@dataclass(slots=True, kw_only=True)
class Assignment:
    """
    The assigned and the registered upstreams of a service, and the last logged ones.

    ``due_ms`` is the monotonic time at which the current ones are logged, None if they
    are already.
    """

    assigned: frozenset[str] = frozenset()
    registered: frozenset[str] = frozenset()
    logged: frozenset[str] | None = None
    hosts: int = 0
    due_ms: float | None = None


class AssignmentLog:
    """
    Logs the changes of each service together, at most every ``LOG_INTERVAL_MS``.

    While this host uses all upstreams, ``upstreams_changed`` lists them and nothing is
    logged here. Upstreams that are no longer registered are not listed as removed.

    :param clock: source of time
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._services: dict[str, Assignment] = {}

    def record(
        self,
        service: str,
        *,
        assigned: frozenset[str],
        registered: frozenset[str],
        hosts: int,
    ) -> None:
        """
        Record the current assignment of a service.

        :param service: name of the service
        :param assigned: names of the upstreams that this host uses
        :param registered: names of all upstreams
        :param hosts: number of members that are not leaving
        """
        row = self._services.setdefault(service, Assignment())
        row.assigned = assigned
        row.registered = registered
        row.hosts = hosts
        if row.due_ms is None:
            row.due_ms = self._clock.now_ms() + LOG_INTERVAL_MS

    def remove(self, service: str) -> None:
        """
        Discard a service that was removed from the configuration.

        :param service: name of the service
        """
        self._services.pop(service, None)

    def tick(self) -> None:
        """Log the changes that are due."""
        now_ms = self._clock.now_ms()
        for service, row in self._services.items():
            if row.due_ms is not None and now_ms >= row.due_ms:
                row.due_ms = None
                self._log(service, row)

    @staticmethod
    def _log(service: str, row: Assignment) -> None:
        if row.logged is None and row.assigned == row.registered:
            return
        logged = (row.logged or frozenset()) & row.registered
        # The lists are complete when the host begins to use a part of the upstreams.
        added = row.assigned - logged
        removed = logged - row.assigned
        row.logged = None if row.assigned == row.registered else row.assigned
        if not added and not removed:
            return
        log.info(
            "upstreams_assigned",
            service=service,
            count=len(row.assigned),
            registered=len(row.registered),
            hosts=row.hosts,
            added=",".join(sorted(added)),
            removed=",".join(sorted(removed)),
        )
