"""Evidence about the direct paths from this host to upstreams."""

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import structlog

from mangohatch.clock import Clock
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.core.upstream_path import ConnectFailure

__all__ = ["PathTable"]

OPENED = "opened"
ALL_ZONES = ""
MIN_LOST_UPSTREAMS = 2  # one upstream may be cut off by itself
MIN_FAILED_UPSTREAMS = 2  # one upstream may have failed by itself
CHECK_INTERVAL_MS = 250.0  # an ended cut is known within two intervals
SUSPECTS_AT_ONCE = 3
SUSPECT_INTERVAL_MS = 1_000.0  # between checks of one upstream
QUIET_MS = 300.0  # without a byte from any upstream while requests wait
DETOUR_RETRY_MS = 1_000.0  # after a peer did not reach the upstream either

log = structlog.get_logger()


@dataclass(slots=True, kw_only=True)
class PathScope:
    """
    The paths to the upstreams of a zone, or of all zones.

    ``lost`` maps upstreams that only peers reach to the begin of the attempt that
    showed it. While the whole scope counts as lost, ``lost_ms`` is the earliest of
    these times.
    """

    zone: str
    lost: dict[str, float] = field(default_factory=dict)
    lost_ms: float | None = None


class PathTable:
    """
    Knows which upstreams this host does not reach although a peer does.

    Designed for hosts whose links to some or all upstreams are cut, which would
    otherwise judge the upstreams. A path is lost when a connection through a peer was
    opened while a direct one was not. If that holds for several upstreams of a zone, or
    of all zones, and no other upstream there was heard meanwhile, all paths of the zone
    or of this host are lost. Lost paths are checked one by one until one of them works.

    Paths are suspected, and checked too, if another path of their zone is lost, or if
    requests wait and nothing is heard from any upstream.

    ``connects`` counts direct connections by result.

    :param clock: source of time
    :param tables: all upstreams
    """

    def __init__(self, *, clock: Clock, tables: Tables) -> None:
        self.connects: Counter[str] = Counter()
        self._clock = clock
        self._tables = tables
        self._scopes: dict[str, PathScope] = {}
        self._lost: dict[int, UpstreamRow] = {}
        self._check_due_ms = -math.inf
        self._heard_ms = -math.inf
        self._failed: set[tuple[str, str]] = set()

    def is_lost(self, upstream: UpstreamRow) -> bool:
        """
        Return whether this host reaches an upstream only through peers.

        :param upstream: the upstream
        :return: whether its direct path is lost
        """
        return self.lost_since_ms(upstream) is not None

    def lost_since_ms(self, upstream: UpstreamRow) -> float | None:
        """
        Return since when the direct path to an upstream is lost.

        :param upstream: the upstream
        :return: monotonic time in milliseconds, None if the path is not lost
        """
        lost_ms = upstream.path.lost_ms
        zone_lost_ms = self.zone_lost_ms(upstream)
        if lost_ms is None or zone_lost_ms is None:
            return lost_ms if zone_lost_ms is None else zone_lost_ms
        return min(lost_ms, zone_lost_ms)

    def zone_lost_ms(self, upstream: UpstreamRow) -> float | None:
        """
        Return since when the paths to all upstreams of a zone are lost.

        :param upstream: an upstream of the zone
        :return: monotonic time in milliseconds, None if they are not lost
        """
        if not self._scopes:
            return None
        times_ms = [
            scope.lost_ms
            for zone in (ALL_ZONES, upstream.zone)
            if (scope := self._scopes.get(zone)) and scope.lost_ms is not None
        ]
        return min(times_ms, default=None)

    def allows_detour(self, upstream: UpstreamRow) -> bool:
        """
        Return whether a peer may reach an upstream that this host does not reach.

        :param upstream: the upstream
        :return: False if peers failed to reach it lately, unless the failure is likely
            to be that of this host
        """
        if self.is_lost(upstream) or self.suspects_itself():
            return True
        since_ms = self._clock.now_ms() - upstream.path.detour_failed_ms
        return since_ms >= DETOUR_RETRY_MS

    def suspects_itself(self) -> bool:
        """
        Return whether this host rather than upstreams may be cut off.

        :return: whether connections to several upstreams have failed since it heard
            from any upstream
        """
        return len(self._failed) >= MIN_FAILED_UPSTREAMS

    def record_connected(self, upstream: UpstreamRow) -> None:
        """
        Record that an upstream accepted a direct connection.

        :param upstream: the upstream
        """
        now_ms = self._clock.now_ms()
        self.connects[OPENED] += 1
        path = upstream.path
        self.record_heard(upstream)
        path.connected_ms = now_ms
        path.lost_ms = None
        self._lost.pop(id(upstream), None)
        for zone in (ALL_ZONES, upstream.zone):
            scope = self._scopes.pop(zone, None)
            if scope is not None and scope.lost_ms is not None:
                log.info(
                    "paths_restored",
                    zone=zone or "all",
                    upstream=upstream.name,
                    lost_for_ms=round(now_ms - scope.lost_ms),
                )

    def record_heard(self, upstream: UpstreamRow) -> None:
        """
        Record that something arrived from an upstream on a direct connection.

        :param upstream: the upstream
        """
        upstream.path.heard_ms = self._heard_ms = self._clock.now_ms()
        if self._failed:
            self._failed.clear()

    def record_failed(self, upstream: UpstreamRow, failure: ConnectFailure) -> None:
        """
        Record that a direct connection could not be opened.

        :param upstream: the upstream
        :param failure: how it failed
        """
        self.connects[failure] += 1
        self._failed.add((upstream.service, upstream.name))

    def record_detour(
        self, upstream: UpstreamRow, *, since_ms: float, relay: str
    ) -> None:
        """
        Record that a peer reached an upstream while this host did not.

        :param upstream: the upstream
        :param since_ms: begin of the direct attempt, monotonic milliseconds
        :param relay: id of the peer
        """
        path = upstream.path
        if path.connected_ms >= since_ms:
            return
        if path.lost_ms is None:
            path.lost_ms = since_ms
            self._lost[id(upstream)] = upstream
            path.checked_ms = self._clock.now_ms()
            log.info(
                "path_lost",
                service=upstream.service,
                upstream=upstream.name,
                zone=upstream.zone,
                relay=relay,
                after_ms=round(self._clock.now_ms() - since_ms),
            )
        for zone in (ALL_ZONES, upstream.zone):
            scope = self._scopes.setdefault(zone, PathScope(zone=zone))
            scope.lost.setdefault(upstream.name, since_ms)
            if scope.lost_ms is None:
                self._evaluate(scope)

    def record_detour_failed(self, upstream: UpstreamRow) -> None:
        """
        Record that peers do not reach an upstream either.

        :param upstream: the upstream
        """
        upstream.path.detour_failed_ms = self._clock.now_ms()

    def due_checks(self, *, waiting: bool) -> list[UpstreamRow]:
        """
        Return the upstreams whose direct paths should be tried now.

        :param waiting: whether requests wait for a response
        :return: of each lost zone and of the paths that are lost by themselves, the one
            that was checked first; and suspects
        """
        now_ms = self._clock.now_ms()
        quiet = waiting and now_ms - self._heard_ms > QUIET_MS
        if now_ms < self._check_due_ms or not (quiet or self._scopes or self._lost):
            return []
        rows = {id(row): row for row in self._suspects(now_ms, quiet=quiet)}
        for zone in self.lost_zones():
            known = [
                row for row in self._tables.upstreams() if zone in (ALL_ZONES, row.zone)
            ]
            add_longest_unchecked(rows, known)
        self._lost = {key: row for key, row in self._lost.items() if self._uses(row)}
        add_longest_unchecked(rows, [*self._lost.values()])
        if rows:
            self._check_due_ms = now_ms + CHECK_INTERVAL_MS
        for row in rows.values():
            row.path.checked_ms = now_ms
        return [*rows.values()]

    def lost_zones(self) -> list[str]:
        """
        List the zones whose upstreams this host reaches only through peers.

        :return: names of zones; an empty name stands for all zones
        """
        return sorted(
            zone for zone, scope in self._scopes.items() if scope.lost_ms is not None
        )

    def _uses(self, upstream: UpstreamRow) -> bool:
        service = self._tables.services.get(upstream.service)
        return service is not None and service.upstreams.get(upstream.name) is upstream

    def _suspects(self, now_ms: float, *, quiet: bool) -> list[UpstreamRow]:
        first_ms = {
            zone: min(scope.lost.values())
            for zone, scope in self._scopes.items()
            if scope.lost and scope.lost_ms is None
        }
        if not first_ms and not quiet:
            return []
        found = []
        for row in self._tables.upstreams():
            path = row.path
            if now_ms - path.checked_ms < SUSPECT_INTERVAL_MS or self.is_lost(row):
                continue
            suspected = quiet and row.in_flight > 0
            for zone in (ALL_ZONES, row.zone):
                suspected |= path.heard_ms < first_ms.get(zone, -math.inf)
            if suspected:
                found.append(row)
                if len(found) == SUSPECTS_AT_ONCE:
                    break
        return found

    def _evaluate(self, scope: PathScope) -> None:
        """Count a scope as lost if several of its upstreams are and none was heard."""
        if len(scope.lost) < MIN_LOST_UPSTREAMS:
            return
        first_ms = min(scope.lost.values())
        for row in self._tables.upstreams():
            in_scope = scope.zone in (ALL_ZONES, row.zone)
            if in_scope and row.path.heard_ms > first_ms:
                return
        scope.lost_ms = first_ms
        log.warning(
            "paths_lost",
            zone=scope.zone or "all",
            upstreams=" ".join(sorted(scope.lost)),
            after_ms=round(self._clock.now_ms() - first_ms),
        )


def add_longest_unchecked(
    rows: dict[int, UpstreamRow], upstreams: Sequence[UpstreamRow]
) -> None:
    """
    Add the upstream whose direct path was not checked for the longest time.

    :param rows: upstreams to check, by the id of the row
    :param upstreams: upstreams to choose from, may be empty
    """
    if upstreams:
        row = min(upstreams, key=lambda item: item.path.checked_ms)
        rows[id(row)] = row
