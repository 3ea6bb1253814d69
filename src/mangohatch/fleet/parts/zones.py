"""Evacuated availability zones, and the regions of zones."""

from collections.abc import Iterable, Iterator

import structlog

from mangohatch.clock import Clock
from mangohatch.core.router import Router
from mangohatch.core.zones import EvacuationChange
from mangohatch.directory.table_updater import TableUpdater
from mangohatch.directory.watch import PartWatches
from mangohatch.fleet.part import Counter, HostPart
from mangohatch.fleet.settings import FleetSettings
from mangohatch.metrics import Sample, SampleKind

__all__ = ["Zones"]

UNKNOWN_ZONE_TICKS = 100  # 2 to 5 s, by which the upstreams of a new zone are known
MAX_LOGGED_ZONES = 64
# After a pause; by then the peers have told what they know, twice an exchange later.
MAX_READING_MS = 1_000.0

log = structlog.get_logger()


class Zones(HostPart):
    """
    Keeps requests out of evacuated zones and out of regions that they must not use.

    :param cfg: validated settings
    :param updater: applies evacuations and regions to the tables
    :param router: holds the calls that wait for upstreams
    :param clock: source of time
    :param watches: reads the evacuations
    """

    name = "zones"

    def __init__(
        self,
        *,
        cfg: FleetSettings,
        updater: TableUpdater,
        router: Router,
        clock: Clock,
        watches: PartWatches,
    ) -> None:
        self._zones = updater.zone_table
        self._updater = updater
        self._router = router
        self._clock = clock
        self._watches = watches
        self._reading_since_ms: float | None = None
        self._follows = cfg.bounds.evacuate_ms is not None
        self._begun = 0
        self._ended = 0
        self._unchecked: dict[str, int] = {}
        self._logged: set[str] = set()
        self._zones.unknown = self._follows
        self._zones.on_change = self._apply
        updater.apply_regions(cfg.regions)

    def counters(self) -> Iterable[Counter]:
        if not self._follows:
            return ()
        return (
            (
                "evacuations_begun",
                "Evacuations of zones that this host began to enforce.",
                self._begun,
            ),
            (
                "evacuations_ended",
                "Evacuations of zones that ended on this host.",
                self._ended,
            ),
            (
                "requests_zone_excluded",
                "Requests refused as no zone outside evacuations and other regions"
                " could run them.",
                self._router.excluded,
            ),
        )

    def samples(self) -> Iterator[Sample]:
        yield from super().samples()
        for zone in sorted(self._zones.evacuated):
            yield Sample(
                name="mangohatch_zone_evacuated",
                help="Zones that receive no requests of this host.",
                kind=SampleKind.GAUGE,
                value=1.0,
                labels=(("zone", zone),),
            )

    def not_ready(self) -> str | None:
        return "evacuations unknown" if self._zones.unknown else None

    def tick(self) -> None:
        if self._follows:
            self._check_pause()
        if self._unchecked:
            self._check_unknown()

    def _check_pause(self) -> None:
        zones = self._zones
        now_ms = self._clock.now_ms()
        zones.check_pause(now_ms)
        zones.awake_ms = now_ms
        if zones.paused_ms is None:
            return
        if self._reading_since_ms is None:
            self._reading_since_ms = now_ms
            log.info("evacuations_read_again", cause="this host was paused")
            self._watches.read_again()
            return
        waited_ms = now_ms - self._reading_since_ms
        read = self._watches.has_read_since(self._reading_since_ms)
        if read or waited_ms >= MAX_READING_MS:
            self._reading_since_ms = None
            zones.end_pause()
            self._router.apply_zones()

    def _check_unknown(self) -> None:
        known = self._updater.known_zones()
        for zone, ticks in [*self._unchecked.items()]:
            if zone in known:
                del self._unchecked[zone]
            elif ticks > 1:
                self._unchecked[zone] = ticks - 1
            else:
                del self._unchecked[zone]
                self._log_unknown(zone, known)

    def reload(self, cfg: FleetSettings) -> None:
        self._updater.apply_regions(cfg.regions)

    def _apply(self, change: EvacuationChange) -> None:
        self._begun += len(change.begun)
        self._ended += len(change.ended)
        for event, zones in (
            ("evacuation_begun", change.begun),
            ("evacuation_ended", change.ended),
        ):
            for zone in sorted(zones):
                log.info(
                    event,
                    zone=zone,
                    revision=change.revision,
                    source="peer" if change.peer else "store",
                    peer=change.peer,
                )
        for zone in change.begun:
            self._unchecked[zone] = UNKNOWN_ZONE_TICKS
        for zone in change.ended:
            self._unchecked.pop(zone, None)
        self._router.apply_zones()

    def _log_unknown(self, zone: str, known: Iterable[str]) -> None:
        if zone in self._logged or len(self._logged) >= MAX_LOGGED_ZONES:
            return
        self._logged.add(zone)
        log.warning(
            "evacuation_zone_unknown", zone=zone, expected=",".join(sorted(known))
        )
