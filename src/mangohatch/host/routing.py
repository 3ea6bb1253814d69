"""Composition of the decision core of one host."""

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
    """The decision core of one host; ``gate`` is what requests go through."""

    gate: QuarantineGate
    health: OutlierHealth
    chooser: TokenChooser
    quarantine: QuarantineTable
    draining: DrainSystem

    def tick(self) -> None:
        """Run the systems over the tables once."""
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
    Put the decision core together.

    :param clock: source of time
    :param rng: source of random numbers
    :param tables: services and upstreams
    :param bus: messages to other hosts
    :param recorder: the time line
    :return: the parts that others need
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
