"""Requests of callers."""

import math
from collections.abc import Callable, Iterable, Mapping

from mangohatch.clock import Clock
from mangohatch.core.call import Grant
from mangohatch.core.retry import RetryBudget
from mangohatch.core.tables import Tables
from mangohatch.entry.connection_limit import ConnectionLimit
from mangohatch.entry.forwarder import Forwarder
from mangohatch.entry.limits import CallerLimits
from mangohatch.entry.observer import ObserverGroup
from mangohatch.entry.protocol import ProtocolAdapter
from mangohatch.entry.server import EntryServer
from mangohatch.fleet.decisions import Decisions
from mangohatch.fleet.part import Counter, HostPart
from mangohatch.fleet.request_log import RequestLog
from mangohatch.fleet.settings import FleetSettings
from mangohatch.metrics import Metrics
from mangohatch.metrics.observer import MetricsObserver
from mangohatch.timeline import Recorder
from mangohatch.upstream.dialer import Dialer
from mangohatch.upstream.pool import ConnectionPool

__all__ = ["CallerEntry"]

FILE_DESCRIPTORS = 200  # the platform reserves them
CALLERS_SHARE = 0.75
BALANCER_DELAY_MS = 3_000.0  # two failed readiness checks, one a second, one in reserve


class CallerEntry(HostPart):
    """
    Accepts requests of callers and forwards them to upstreams.

    :param cfg: validated settings
    :param clock: source of time
    :param tables: services, upstreams and routes
    :param decisions: the decision core
    :param budget: limits retries
    :param protocol: adapter for the header fields of callers and upstreams
    :param recorder: records events on the timeline
    :param metrics: counts requests and their latency
    :param dialer: opens connections to upstreams
    :param should_move: returns whether another upstream would finish sooner
    :param describe_directory: describes the knowledge by which requests are refused
    """

    name = "entry"

    def __init__(
        self,
        *,
        cfg: FleetSettings,
        clock: Clock,
        tables: Tables,
        decisions: Decisions,
        budget: RetryBudget,
        protocol: ProtocolAdapter,
        recorder: Recorder,
        metrics: Metrics,
        dialer: Dialer,
        should_move: Callable[[Grant], bool],
        describe_directory: Callable[[], Mapping[str, object]],
    ) -> None:
        self._address = cfg.entry
        self.limits = CallerLimits()
        self.pool = ConnectionPool(clock=clock, dialer=dialer)
        decisions.signs.on_leaving = self.pool.drop_idle
        self.request_log = RequestLog(
            clock=clock, describe_directory=describe_directory
        )
        observers = [self.request_log, MetricsObserver(clock=clock, metrics=metrics)]
        self.forwarder = Forwarder(
            clock=clock,
            router=decisions.gate,
            pool=self.pool,
            budget=budget,
            protocol=protocol,
            recorder=recorder,
            observer=ObserverGroup(observers=observers),
            should_move=should_move,
            hedges=decisions.hedges,
        )
        self.server = EntryServer(
            host_id=cfg.host_id,
            clock=clock,
            tables=tables,
            forwarder=self.forwarder,
            balancer_delay_ms=BALANCER_DELAY_MS,
            limits=self.limits,
            connection_limit=ConnectionLimit(
                most=find_max_connections(cfg.max_descriptors)
            ),
            on_refused=self.request_log.on_refused,
        )

    def counters(self) -> Iterable[Counter]:
        return (
            (
                "log_lines_dropped",
                "Lines of requests left out to bound the log.",
                self.request_log.dropped,
            ),
            (
                "connections_evicted",
                "Idle connections of callers that made room for new ones.",
                self.server.connection_limit.evicted,
            ),
            (
                "connections_refused",
                "New connections of callers for which there was no room.",
                self.server.connection_limit.refused,
            ),
        )

    def not_ready(self) -> str | None:
        return None if self.server.ready else "leaving"

    async def start(self) -> None:
        self.server.listen(*self._address)

    async def stop(self) -> None:
        await self.server.close()
        self.pool.close()

    def leave(self, *, answer_by_ms: float) -> None:
        self.server.begin_drain(answer_by_ms=answer_by_ms)

    def drained(self) -> bool:
        return self.server.drained()

    def tick(self) -> None:
        self.server.tick()


def find_max_connections(max_descriptors: int | None) -> float:
    """
    Return how many connections of callers a host keeps.

    :param max_descriptors: number of descriptors of the process, None if not known
    :return: the number; the rest is for upstreams, peers, the store and files
    """
    if max_descriptors is None:
        return math.inf
    return max(1.0, CALLERS_SHARE * (max_descriptors - FILE_DESCRIPTORS))
