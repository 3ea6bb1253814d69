"""Evacuated availability zones, and the regions of zones."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

__all__ = ["EvacuationChange", "ZoneTable"]

# A host runs every 50 ms. Evacuations may be in force a second later than this host
# knows, so a shorter pause changes little.
MAX_PAUSE_MS = 1_000.0


@dataclass(slots=True, kw_only=True, frozen=True)
class EvacuationChange:
    """
    Zones whose evacuation began or ended, as of a revision of the store.

    ``peer`` is the host that sent the change, empty if this host read the store.
    """

    begun: frozenset[str]
    ended: frozenset[str]
    revision: int
    peer: str


@dataclass(slots=True, kw_only=True)
class ZoneTable:
    """
    Decides which zones may receive a request.

    ``evacuated`` holds the zones that receive none. While ``unknown`` is set, this host
    has to follow evacuations and has not received them yet, so no zone receives any.
    ``regions`` maps zones to regions. ``on_change`` is called after each change.

    A host that was paused may have missed an evacuation: from ``paused_ms`` on, the
    time at which it noticed the pause, the evacuations are unknown until it has read
    them again. ``awake_ms`` is when it ran last, infinite where it follows none.
    """

    evacuated: frozenset[str] = frozenset()
    unknown: bool = False
    regions: Mapping[str, str] = field(default_factory=dict)
    on_change: Callable[[EvacuationChange], None] | None = None
    awake_ms: float = math.inf
    paused_ms: float | None = None

    def set_evacuated(
        self, zones: frozenset[str], *, revision: int, peer: str = ""
    ) -> bool:
        """
        Replace the evacuated zones.

        :param zones: names of all evacuated zones
        :param revision: revision of the store at which they were read
        :param peer: the host that sent them, empty if this host read the store
        :return: whether anything changed
        """
        change = EvacuationChange(
            begun=zones - self.evacuated,
            ended=self.evacuated - zones,
            revision=revision,
            peer=peer,
        )
        if not self.unknown and not change.begun and not change.ended:
            return False
        self.unknown = self.paused_ms is not None
        self.evacuated = zones
        if self.on_change is not None:
            self.on_change(change)
        return True

    def check_pause(self, now_ms: float) -> None:
        """
        Distrust the evacuations if this host has not run for a while.

        :param now_ms: monotonic time in milliseconds
        """
        if now_ms - self.awake_ms > MAX_PAUSE_MS and self.paused_ms is None:
            self.paused_ms = now_ms
            self.unknown = True

    def end_pause(self) -> None:
        """Trust the evacuations again, after they were read."""
        self.paused_ms = None
        self.unknown = False

    def restricts(self, allowed_regions: frozenset[str] | None) -> bool:
        """
        Return whether any zone may be excluded from a request.

        :param allowed_regions: the regions that may receive the request, None for all
        :return: False if no zone has to be checked
        """
        return self.unknown or bool(self.evacuated) or allowed_regions is not None

    def is_evacuated(self, zone: str) -> bool:
        """
        Return whether a zone receives no requests at all.

        :param zone: name of the zone
        :return: True also while the evacuations are unknown
        """
        return self.unknown or zone in self.evacuated

    def excludes(self, zone: str, allowed_regions: frozenset[str] | None) -> bool:
        """
        Return whether a zone must not receive a request.

        :param zone: name of the zone
        :param allowed_regions: the regions that may receive the request, None for all
        :return: True if the zone is evacuated, or if its region is not allowed or not
            known
        """
        if self.unknown or zone in self.evacuated:
            return True
        if allowed_regions is None:
            return False
        return self.regions.get(zone) not in allowed_regions

    def allows_region(self, zone: str, allowed_regions: frozenset[str] | None) -> bool:
        """
        Return whether a zone is in a region that may receive a request.

        :param zone: name of the zone
        :param allowed_regions: the regions that may receive the request, None for all
        :return: False also if the region of the zone is not known
        """
        return allowed_regions is None or self.regions.get(zone) in allowed_regions

    def describe(self, zone: str, allowed_regions: frozenset[str] | None) -> str:
        """
        Describe why a zone must not receive a request, for the log.

        :param zone: name of the zone
        :param allowed_regions: the regions that may receive the request, None for all
        :return: the reason, empty if it may
        """
        if self.unknown:
            return "evacuations are unknown"
        if zone in self.evacuated:
            return f"zone {zone} is evacuated"
        if not self.allows_region(zone, allowed_regions):
            region = self.regions.get(zone, "unknown")
            return f"region {region} of zone {zone} is not allowed"
        return ""
