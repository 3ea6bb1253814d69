"""Load-balancing policies compared by the benchmark."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from bench.virtual.bus import Fleet, VirtualBus
from bench.virtual.loop import EventLoop, LoopTimers
from bench.virtual.oracle import Oracle, OracleChooser
from bench.virtual.sites import Site
from bench.virtual.upstream import FakeUpstream
from mangohatch.core.choice import Chooser
from mangohatch.core.choice.idle_hints import IdleHintsChooser
from mangohatch.core.choice.least_in_flight import LeastInFlightChooser
from mangohatch.core.choice.partition import PartitionChooser
from mangohatch.core.choice.power_of_two import PowerOfTwoChooser
from mangohatch.core.choice.probing import ProbeReply, ProbeTransport, ProbingChooser
from mangohatch.core.choice.round_robin import RoundRobinChooser
from mangohatch.core.choice.tokens import TokenChooser
from mangohatch.core.choice.uniform import UniformChooser
from mangohatch.core.health import Health
from mangohatch.core.measuring import MeasuringCounter
from mangohatch.core.tables import Tables, UpstreamRow

__all__ = ["POLICIES", "PolicyContext"]


@dataclass(slots=True, kw_only=True)
class PolicyContext:
    """Dependencies of the policy of one host."""

    loop: EventLoop
    fleet: Fleet
    bus: VirtualBus
    rng: random.Random
    tables: Tables
    health: Health
    site: Site
    position: int
    upstreams: dict[str, FakeUpstream]
    counter: MeasuringCounter
    shared: dict[str, Oracle]

    @property
    def chooser_args(self) -> dict:
        """Constructor arguments common to all choosers."""
        return dict(clock=self.loop.clock, rng=self.rng, health=self.health)

    @property
    def timers(self) -> LoopTimers:
        """Timers backed by the virtual event loop."""
        return LoopTimers(loop=self.loop)


class VirtualProbeTransport(ProbeTransport):
    """Sends load probes to fake upstreams, which answer without using a slot."""

    def __init__(self, *, context: PolicyContext) -> None:
        self._context = context

    def send(self, row: UpstreamRow, reply: Callable[[ProbeReply], None]) -> None:
        context = self._context
        zone = context.fleet.views[context.bus.host_id].zone
        latency_ms = context.fleet.latency_ms(zone, row.zone)
        upstream = context.upstreams[row.name]

        def answer() -> None:
            load = upstream.reported_load
            probe = ProbeReply(in_flight=load, latency_ms=upstream.recent_ms(load))
            context.loop.after(latency_ms, reply, probe)

        context.loop.after(latency_ms, answer)


def make_probing(context: PolicyContext) -> Chooser:
    """
    Create the chooser that sends load probes.

    :param context: dependencies of the policy
    :return: the chooser
    """
    transport = VirtualProbeTransport(context=context)
    return ProbingChooser(
        transport=transport, counter=context.counter, **context.chooser_args
    )


def make_partition(context: PolicyContext) -> Chooser:
    """
    Create the chooser that assigns a fixed set of slots to each host.

    :param context: dependencies of the policy
    :return: the chooser
    """
    site = context.site
    return PartitionChooser(
        position=context.position, hosts=site.hosts, **context.chooser_args
    )


def make_oracle(context: PolicyContext, *, use_speed: bool) -> Chooser:
    """
    Create the oracle chooser, which uses the true state of all upstreams.

    :param context: dependencies of the policy
    :param use_speed: whether the oracle also uses the current speed of each upstream
    :return: the chooser
    """
    oracle = context.shared.get("oracle")
    if oracle is None:
        oracle = Oracle(
            loop=context.loop, upstreams=context.upstreams, use_speed=use_speed
        )
        context.shared["oracle"] = oracle
    return OracleChooser(oracle=oracle, **context.chooser_args)


def make_tokens(context: PolicyContext) -> Chooser:
    """
    Create the production chooser.

    :param context: dependencies of the policy
    :return: the chooser
    """
    return TokenChooser(
        tables=context.tables,
        bus=context.bus,
        timers=context.timers,
        counters={context.site.service: context.counter},
        **context.chooser_args,
    )


POLICIES: dict[str, Callable[[PolicyContext], Chooser]] = {
    "random": lambda context: UniformChooser(**context.chooser_args),
    "round-robin": lambda context: RoundRobinChooser(**context.chooser_args),
    "least-in-flight": lambda context: LeastInFlightChooser(**context.chooser_args),
    "power-of-two": lambda context: PowerOfTwoChooser(**context.chooser_args),
    "idle-hints": lambda context: IdleHintsChooser(**context.chooser_args),
    "late-binding": make_partition,
    "probing": make_probing,
    "tokens": make_tokens,
    "oracle": lambda context: make_oracle(context, use_speed=False),
    "oracle-speed": lambda context: make_oracle(context, use_speed=True),
}
