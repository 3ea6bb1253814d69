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
from mangohatch.host.health import HealthNews, subscribe_advice
from mangohatch.host.reach import TcpReachability
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
    leaving: DrainSystem

    def tick(self) -> None:
        """Run the systems over the tables once."""
        self.leaving.tick()
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
    leaving = DrainSystem(
        clock=clock,
        tables=tables,
        bus=bus,
        probe=TcpReachability(),
        recorder=recorder,
    )
    news = HealthNews(bus=bus, recorder=recorder, leaving=leaving)
    health = OutlierHealth(clock=clock, rng=rng, listener=news)
    subscribe_advice(bus, tables=tables, health=health)
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
        leaving=leaving,
    )
