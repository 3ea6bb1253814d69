"""Evacuated availability zones, and the regions of zones."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

__all__ = ["EvacuationChange", "ZoneTable"]


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
    """

    evacuated: frozenset[str] = frozenset()
    unknown: bool = False
    regions: Mapping[str, str] = field(default_factory=dict)
    on_change: Callable[[EvacuationChange], None] | None = None

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
        self.unknown = False
        self.evacuated = zones
        if self.on_change is not None:
            self.on_change(change)
        return True

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
        return not self.allows_region(zone, allowed_regions)

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
