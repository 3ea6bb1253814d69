"""This host's copy of the directory, and the tables that follow from it."""

import random
from collections.abc import Callable, Iterable, Iterator

from mangohatch.clock import Clock
from mangohatch.core.tables import Tables
from mangohatch.directory import DirectoryFollower, DirectoryPart, DirectorySource
from mangohatch.directory.table_updater import TableUpdater
from mangohatch.fleet.part import Counter, HostPart
from mangohatch.fleet.settings import FleetSettings
from mangohatch.metrics import Sample, SampleKind
from mangohatch.peer.bus import PeerBus

__all__ = ["DirectoryReading", "TableUpdates"]


class DirectoryReading(HostPart):
    """
    Reads the directory, and shares it with peers.

    :param cfg: validated settings
    :param clock: source of time
    :param rng: source of random numbers
    :param source: reads the store
    :param bus: sends messages to other hosts
    :param on_change: called with each part of the directory whose content has changed
    """

    name = "directory"

    def __init__(
        self,
        *,
        cfg: FleetSettings,
        clock: Clock,
        rng: random.Random,
        source: DirectorySource,
        bus: PeerBus,
        on_change: Callable[[DirectoryPart], None],
    ) -> None:
        self.follower = DirectoryFollower(
            clock=clock,
            rng=rng,
            source=source,
            bus=bus,
            on_change=on_change,
            first_start=cfg.first_start,
        )

    def counters(self) -> Iterable[Counter]:
        follower = self.follower
        return (
            ("store_calls", "Calls to the store.", follower.calls),
            (
                "store_calls_failed",
                "Calls to the store without a usable answer.",
                follower.failed_calls,
            ),
            (
                "directory_pulls",
                "Requests to other hosts for newer content.",
                follower.pulls,
            ),
            (
                "directory_pulls_dropped",
                "Requests of other hosts that could not be served in time.",
                follower.dropped_pulls,
            ),
        )

    def samples(self) -> Iterator[Sample]:
        yield from super().samples()
        for part in self.follower.parts:
            yield Sample(
                name="mangohatch_directory_age_ms",
                help="Time since the store was known to hold this host's copy.",
                kind=SampleKind.GAUGE,
                value=self.follower.age_ms(part),
                labels=(("part", part),),
            )

    def not_ready(self) -> str | None:
        return None if self.follower.known else "directory unknown"

    async def stop(self) -> None:
        await self.follower.stop()

    def tick(self) -> None:
        self.follower.tick()


class TableUpdates(HostPart):
    """
    Applies the directory and the member list to the tables.

    :param updater: changes the tables
    :param tables: services, upstreams and routes
    """

    name = "tables"

    def __init__(self, *, updater: TableUpdater, tables: Tables) -> None:
        self._updater = updater
        self._tables = tables

    def samples(self) -> Iterator[Sample]:
        yield from super().samples()
        yield Sample(
            name="mangohatch_configuration_version",
            help="Version of the configuration in force, 0 before the first one.",
            kind=SampleKind.GAUGE,
            value=self._tables.routes.version,
        )

    def not_ready(self) -> str | None:
        return None if self._tables.routes.revision else "directory unknown"

    def tick(self) -> None:
        self._updater.tick()
