"""Simulated store with the directory of a fleet, and its documents."""

import asyncio
import json
import random
from collections.abc import Mapping, Sequence
from functools import lru_cache

from mangohatch.core.accounts import Account, digest_key
from mangohatch.core.routes import Route, Target
from mangohatch.directory import (
    DirectoryPart,
    DirectorySource,
    PartItem,
    PartReading,
)
from mangohatch.directory.content import (
    Configuration,
    RegisteredUpstream,
    ServiceOptions,
)
from mangohatch.directory.table_updater import TableUpdater
from mangohatch.entry.limits import CallerLimits
from mangohatch.errors import StoreUnavailable
from standins.simulated_fleet.network import PeerPort
from standins.virtual_loop import LoopClock

__all__ = [
    "CONFIGURATION",
    "UPSTREAMS",
    "SimulatedSource",
    "SimulatedStore",
    "apply_part",
    "read_configuration",
]

CONFIGURATION = "config"
UPSTREAMS = "upstreams"
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
    Holds the configuration and the entries of the upstreams.

    ``accounts`` are the client accounts of the next version of the configuration; the
    key of each is its name.

    :param clock: source of time
    :param rng: source of random numbers
    """

    def __init__(self, *, clock: LoopClock, rng: random.Random) -> None:
        self.calls = 0
        self.down = False
        self.version = 0
        self._clock = clock
        self._rng = rng
        self.accounts: Sequence[Account] = ()
        self._writes = 1
        self._items: dict[str, dict[str, PartItem]] = {CONFIGURATION: {}, UPSTREAMS: {}}

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
    """

    parts = (CONFIGURATION, UPSTREAMS)

    def __init__(
        self, *, store: SimulatedStore, clock: LoopClock, port: PeerPort
    ) -> None:
        self._store = store
        self._clock = clock
        self._port = port

    async def read(self, part: str, known: Mapping[str, PartItem]) -> PartReading:
        self._store.calls += 1
        now_ms = self._clock.now_ms()
        sent_ms = self._port.leave_link_ms(REQUEST_BYTES, now_ms)
        if sent_ms is None or sent_ms - now_ms > TIMEOUT_MS or self._store.down:
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


def apply_part(part: DirectoryPart, updater: TableUpdater) -> None:
    """
    Apply a part of the directory to the tables of a host.

    :param part: the part
    :param updater: updates the tables
    """
    if part.name == UPSTREAMS:
        updater.apply_upstreams(
            [read_upstream(item.json) for item in part.items.values()]
        )
        return
    for item in part.items.values():
        updater.apply_configuration(
            read_configuration(item.json), revision=item.revision
        )


# All hosts decode the same documents.
@lru_cache(maxsize=2_000)
def read_upstream(text: str) -> RegisteredUpstream:
    """
    Decode the entry of an upstream.

    :param text: the entry as JSON
    :return: the entry
    """
    return RegisteredUpstream(**json.loads(text))


@lru_cache(maxsize=20)
def read_configuration(text: str) -> Configuration:
    """
    Decode a configuration.

    :param text: the configuration as JSON
    :return: the configuration
    """
    document = json.loads(text)
    return Configuration(
        version=document["version"],
        routes=tuple(
            Route(
                name=entry["name"],
                host="site.example",
                prefix=entry["prefix"],
                targets=(Target(service=entry["service"]),),
                idempotent=True,
                timeout_ms=1_500.0,
                objective_ms=400.0,
                priority=1,
                max_attempts=2,
            )
            for entry in document["routes"]
        ),
        services={
            name: ServiceOptions(health_path="/healthz", connections=1_000)
            for name in document["services"]
        },
        limits=CallerLimits(),
        accounts=tuple(
            Account(
                name=name,
                key_digests=frozenset({digest_key(name)}),
                priority=priority,
                per_s=per_s,
                burst=burst,
            )
            for name, priority, per_s, burst in document.get("accounts", ())
        ),
    )
