"""Builds the decision core of one host."""

import random
from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.core.choice.tokens import TokenChooser
from mangohatch.core.draining import DrainSystem
from mangohatch.core.health import OutlierHealth
from mangohatch.core.quarantine import (
    QuarantineGate,
    QuarantineNotices,
    QuarantineTable,
)
from mangohatch.core.router import Router
from mangohatch.core.tables import Tables
from mangohatch.host.health import HealthPublisher, subscribe_ejections
from mangohatch.host.reachability import TcpReachability
from mangohatch.loop_timers import LoopTimers
from mangohatch.peer.bus import PeerBus
from mangohatch.timeline import Recorder

__all__ = ["Routing", "make_routing"]


@dataclass(slots=True, kw_only=True)
class Routing:
    """The decision core of one host; all requests pass through ``gate``."""

    gate: QuarantineGate
    health: OutlierHealth
    chooser: TokenChooser
    quarantine: QuarantineTable
    draining: DrainSystem

    def tick(self) -> None:
        """Run the drain system and the quarantine gate once."""
        self.draining.tick()
        self.gate.tick()


def make_routing(
    *,
    clock: Clock,
    rng: random.Random,
    tables: Tables,
    bus: PeerBus,
    recorder: Recorder,
) -> Routing:
    """
    Build the decision core.

    :param clock: source of time
    :param rng: source of random numbers
    :param tables: services and upstreams
    :param bus: message bus to the other hosts
    :param recorder: recorder of this host's timeline events
    :return: the components that the rest of the host uses
    """
    draining = DrainSystem(
        clock=clock,
        tables=tables,
        bus=bus,
        probe=TcpReachability(),
        recorder=recorder,
    )
    publisher = HealthPublisher(bus=bus, recorder=recorder, draining=draining)
    health = OutlierHealth(clock=clock, rng=rng, listener=publisher)
    subscribe_ejections(bus, tables=tables, health=health)
    timers = LoopTimers()
    chooser = TokenChooser(
        clock=clock, rng=rng, health=health, tables=tables, bus=bus, timers=timers
    )
    router = Router(
        clock=clock,
        rng=rng,
        tables=tables,
        health=health,
        host_id=bus.host_id,
        chooser=chooser,
        timers=timers,
    )
    quarantine = QuarantineTable(clock=clock)
    notices = QuarantineNotices(clock=clock, rng=rng, bus=bus, table=quarantine)
    gate = QuarantineGate(
        clock=clock, router=router, table=quarantine, notices=notices, recorder=recorder
    )
    return Routing(
        gate=gate,
        health=health,
        chooser=chooser,
        quarantine=quarantine,
        draining=draining,
    )
