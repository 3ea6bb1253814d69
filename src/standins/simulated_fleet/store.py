"""Simulated store with the directory of a fleet, and its documents."""

import asyncio
import contextlib
import json
import random
from collections.abc import Mapping, Sequence
from dataclasses import asdict

from mangohatch.core.accounts import Account
from mangohatch.core.cold_state import WarmUp
from mangohatch.directory import (
    DirectorySource,
    PartItem,
    PartReading,
)
from mangohatch.directory.content import RegisteredUpstream
from mangohatch.errors import StoreUnavailable
from mangohatch.peer.datagram import PeerAddress
from standins.simulated_fleet.network import PeerPort
from standins.virtual_loop import LoopClock

__all__ = [
    "CONFIGURATION",
    "EVACUATIONS",
    "UPSTREAMS",
    "SimulatedSource",
    "SimulatedStore",
]

CONFIGURATION = "config"
UPSTREAMS = "upstreams"
EVACUATIONS = "evacuations"
WATCH_MS = 30_000.0
CONFIGURATION_NAME = "main"
HEARTBEAT_MS = 1_500.0  # of each upstream; raises the revision of the store
CALL_MIN_MS = 5.0
CALL_MAX_MS = 15.0
TIMEOUT_MS = 1_000.0
REQUEST_BYTES = 500
ENTRY_BYTES = 200  # name, revision and other fields of an object
MS_PER_S = 1000.0
NAME_BYTES = 16


class SimulatedStore:
    """
    Holds the configuration, the entries of the upstreams and the evacuations of zones.

    Hosts whose address is in ``cut`` do not reach it.

    ``accounts`` are the client accounts of the next version of the configuration; the
    key of each is its name.

    :param clock: source of time
    :param rng: source of random numbers
    """

    def __init__(self, *, clock: LoopClock, rng: random.Random) -> None:
        self.calls = 0
        self.down = False
        self.cut: set[PeerAddress] = set()
        self.version = 0
        self._clock = clock
        self._rng = rng
        self.warm_up: WarmUp | None = None
        self.accounts: Sequence[Account] = ()
        self._writes = 1
        self._items: dict[str, dict[str, PartItem]] = {
            part: {} for part in (CONFIGURATION, UPSTREAMS, EVACUATIONS)
        }
        self._changed = asyncio.Event()
        self._evacuations_revision = 0

    @property
    def revision(self) -> int:
        """Current revision, which also rises with heartbeats of the upstreams."""
        beats = int(self._clock.now_ms() / HEARTBEAT_MS * len(self._items[UPSTREAMS]))
        return self._writes + beats

    def put_configuration(self, services: Sequence[str], size: int) -> int:
        """
        Write a new version of the configuration.

        :param services: names of the services
        :param size: size of the document in bytes, which further routes fill up
        :return: the version
        """
        self.version += 1
        routes: list[dict[str, str]] = []
        length = 0
        while not routes or length < size:
            suffix = self._rng.randbytes(NAME_BYTES // 2).hex()
            routes.append(
                {
                    "name": f"route-{suffix}",
                    "prefix": f"/{suffix}/",
                    "service": services[len(routes) % len(services)],
                }
            )
            length += len(json.dumps(routes[-1]))
        document = {
            "version": self.version,
            "services": list(services),
            "routes": routes,
        }
        if self.warm_up is not None:
            document["warm_up"] = asdict(self.warm_up)
        if self.accounts:
            document["accounts"] = [
                [item.name, item.priority, item.per_s, item.burst]
                for item in self.accounts
            ]
        self._put(CONFIGURATION, CONFIGURATION_NAME, json.dumps(document))
        return self.version

    def put_upstream(self, entry: RegisteredUpstream) -> None:
        """
        Write the entry of an upstream.

        :param entry: the entry
        """
        fields = {name: getattr(entry, name) for name in entry.__slots__}
        self._put(UPSTREAMS, entry.name, json.dumps(fields))

    def remove_upstream(self, name: str) -> None:
        """
        Remove the entry of an upstream that no longer renews it.

        :param name: name of the upstream
        """
        self._writes += 1
        self._items[UPSTREAMS].pop(name, None)

    def set_evacuated(self, zone: str, evacuated: bool) -> None:
        """
        Write or delete the evacuation of a zone.

        :param zone: name of the zone
        :param evacuated: whether its evacuation is in force
        """
        if evacuated:
            self._put(EVACUATIONS, zone, "{}")
        else:
            self._writes += 1
            self._items[EVACUATIONS].pop(zone, None)
        self._evacuations_revision = self.revision
        self._changed.set()
        self._changed = asyncio.Event()

    def read_revision(self, zone: str) -> int:
        """
        Return the revision of the evacuation of a zone.

        :param zone: name of an evacuated zone
        :return: revision of its entry
        """
        return self._items[EVACUATIONS][zone].revision

    async def wait_for_evacuations(self, revision: int) -> None:
        """
        Wait until the evacuations have changed since a revision.

        :param revision: the revision; a change of it or after it ends the wait
        """
        if self._evacuations_revision > revision:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WATCH_MS / MS_PER_S):
                await self._changed.wait()

    def _put(self, part: str, name: str, text: str) -> None:
        self._writes += 1
        self._items[part][name] = PartItem(name=name, revision=self.revision, json=text)

    def answer_ms(self) -> float:
        """
        Draw the time that the store takes for a call.

        :return: milliseconds
        """
        return self._rng.uniform(CALL_MIN_MS, CALL_MAX_MS)

    def read(self, part: str) -> PartReading:
        """
        Read all objects of a part.

        :param part: name of the part
        :return: the reading
        """
        return PartReading(
            items=list(self._items[part].values()), revision=self.revision
        )


class SimulatedSource(DirectorySource):
    """
    Reads the directory from a simulated store, over the link of a host.

    :param store: the store
    :param clock: source of time
    :param port: port of the host; its link also carries the calls
    :param evacuations: whether to read evacuations of zones too
    """

    parts: Sequence[str] = (CONFIGURATION, UPSTREAMS)

    def __init__(
        self,
        *,
        store: SimulatedStore,
        clock: LoopClock,
        port: PeerPort,
        evacuations: bool = False,
    ) -> None:
        if evacuations:
            self.parts = (*self.parts, EVACUATIONS)
            self.watched = frozenset({EVACUATIONS})
        self._store = store
        self._clock = clock
        self._port = port

    async def read(self, part: str, known: Mapping[str, PartItem]) -> PartReading:
        self._store.calls += 1
        now_ms = self._clock.now_ms()
        sent_ms = self._port.leave_link_ms(REQUEST_BYTES, now_ms)
        if sent_ms is None or sent_ms - now_ms > TIMEOUT_MS or self._unreachable():
            await asyncio.sleep(TIMEOUT_MS / MS_PER_S)
            raise StoreUnavailable("the store did not respond")
        await asyncio.sleep((sent_ms - now_ms + self._store.answer_ms()) / MS_PER_S)
        reading = self._store.read(part)
        size = sum(len(item.json) + ENTRY_BYTES for item in reading.items)
        now_ms = self._clock.now_ms()
        arrived_ms = self._port.reach_host_ms(size, now_ms)
        if arrived_ms is None or arrived_ms - now_ms > TIMEOUT_MS:
            await asyncio.sleep(TIMEOUT_MS / MS_PER_S)
            raise StoreUnavailable("the store did not respond")
        await asyncio.sleep((arrived_ms - now_ms) / MS_PER_S)
        return reading

    async def watch(self, part: str, revision: int) -> None:
        self._store.calls += 1
        if not self._unreachable():
            await self._store.wait_for_evacuations(revision)
            await asyncio.sleep(self._store.answer_ms() / MS_PER_S)
        if self._unreachable():
            await asyncio.sleep(TIMEOUT_MS / MS_PER_S)
            raise StoreUnavailable("the store did not respond")

    def _unreachable(self) -> bool:
        return self._store.down or self._port.address in self._store.cut
