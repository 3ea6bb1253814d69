"""Messages between this host and its peers."""

import random
from collections.abc import Iterable, Iterator

from mangohatch.clock import Clock
from mangohatch.fleet.part import Counter, HostPart
from mangohatch.fleet.settings import FleetSettings
from mangohatch.metrics import Sample, make_counter
from mangohatch.peer.datagram import DatagramPeerBus
from mangohatch.timeline import HybridClock

__all__ = ["PeerLink"]


class PeerLink(HostPart):
    """
    The message bus and the member list.

    :param cfg: validated settings
    :param clock: source of time
    :param hybrid: clock for the timestamps of messages
    :param rng: source of random numbers
    """

    name = "peers"

    def __init__(
        self,
        *,
        cfg: FleetSettings,
        clock: Clock,
        hybrid: HybridClock,
        rng: random.Random,
    ) -> None:
        self.bus = DatagramPeerBus(
            host_id=cfg.host_id,
            zone=cfg.zone,
            address=cfg.peers,
            seeds=cfg.seeds,
            clock=clock,
            hybrid=hybrid,
            rng=rng,
        )

    def counters(self) -> Iterable[Counter]:
        return (
            ("peer_datagrams_sent", "Datagrams sent to peers.", self.bus.sent),
            (
                "peer_datagrams_received",
                "Datagrams received from peers.",
                self.bus.received,
            ),
            (
                "peer_datagrams_failed",
                "Datagrams that were malformed or whose handling failed.",
                self.bus.failed,
            ),
            (
                "peer_entries_unknown",
                "Received entries of members in states that this version lacks.",
                self.bus.membership.unknown_states,
            ),
        )

    def samples(self) -> Iterator[Sample]:
        yield from super().samples()
        for cause, count in self.bus.counters.unreadable.items():
            yield make_counter(
                "mangohatch_peer_messages_unreadable",
                "Messages of peers not understood, or not entirely, by cause.",
                count,
                cause=cause,
            )

    async def start(self) -> None:
        await self.bus.start()

    async def stop(self) -> None:
        self.bus.stop()

    def leave(self, *, answer_by_ms: float) -> None:
        self.bus.set_leaving()

    def tick(self) -> None:
        self.bus.tick()

    def reload(self, cfg: FleetSettings) -> None:
        self.bus.set_seeds(cfg.seeds)
