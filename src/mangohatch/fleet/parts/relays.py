"""Paths to upstreams, directly and through peers."""

import random
from collections.abc import Callable, Iterable, Iterator

from mangohatch.clock import Clock
from mangohatch.core.paths import PathTable, RelayChooser
from mangohatch.core.tables import Tables
from mangohatch.fleet.part import Counter, HostPart
from mangohatch.fleet.settings import FleetSettings
from mangohatch.metrics import Sample, make_counter
from mangohatch.peer.datagram import DatagramPeerBus
from mangohatch.relay import RelayAdmission, RelayClient, RelayDialer, RelayServer

__all__ = ["Relays"]


class Relays(HostPart):
    """
    Opens connections to upstreams, and relays those of peers.

    ``has_requests`` returns whether requests wait for a response.

    :param cfg: validated settings
    :param clock: source of time
    :param rng: source of random numbers
    :param tables: services and upstreams
    :param bus: knows the members
    """

    name = "paths"

    def __init__(
        self,
        *,
        cfg: FleetSettings,
        clock: Clock,
        rng: random.Random,
        tables: Tables,
        bus: DatagramPeerBus,
    ) -> None:
        self.has_requests: Callable[[], bool] = bool
        self._address = cfg.peers
        self.paths = PathTable(clock=clock, tables=tables)
        self.chooser = RelayChooser(clock=clock, rng=rng, bus=bus, zone=cfg.zone)
        self.dialer = RelayDialer(
            paths=self.paths,
            chooser=self.chooser,
            client=RelayClient(bus=bus),
            clock=clock,
        )
        self.server = RelayServer(
            bus=bus,
            admission=RelayAdmission(tables=tables, paths=self.paths),
            paths=self.paths,
        )

    def counters(self) -> Iterable[Counter]:
        return (
            (
                "relays_opened",
                "Connections to upstreams that this host opened through peers.",
                self.chooser.opened,
            ),
            (
                "relays_served",
                "Connections to upstreams that this host opened for peers.",
                self.server.relayed,
            ),
            (
                "relays_refused",
                "Connections to upstreams that this host did not open for peers.",
                self.server.refused,
            ),
        )

    def samples(self) -> Iterator[Sample]:
        yield from super().samples()
        for result, count in self.paths.connects.items():
            yield make_counter(
                "mangohatch_upstream_connects",
                "Direct connections to upstreams that were opened or failed.",
                count,
                result=result,
            )

    async def start(self) -> None:
        address, port = self._address
        self.server.listen(port, address)

    async def stop(self) -> None:
        await self.server.close()
        await self.dialer.close()

    def leave(self, *, answer_by_ms: float) -> None:
        self.server.leave()

    def drained(self) -> bool:
        return not self.server.active

    def tick(self) -> None:
        self.dialer.tick(waiting=self.has_requests())
