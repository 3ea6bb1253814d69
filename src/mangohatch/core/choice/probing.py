"""Choice by load probes that are sent in advance and reused."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from mangohatch.core.call import Call, Grant
from mangohatch.core.choice.base import ImmediateChooser
from mangohatch.core.measuring import MeasuringCounter
from mangohatch.core.tables import ServiceRow, UpstreamRow

__all__ = ["ProbeReply", "ProbeTransport", "ProbingChooser"]

PROBES_PER_REQUEST = 3
PROBE_BYTES = 96
POOL_SIZE = 6
REUSE_LIMIT = 1
MAX_AGE_MS = 100.0
HOT_QUANTILE = 0.5


@dataclass(slots=True, kw_only=True)
class ProbeReply:
    """Load of an upstream when it answered a probe."""

    in_flight: int
    latency_ms: float


class ProbeTransport(ABC):
    """Sends load probes to upstreams."""

    @abstractmethod
    def send(self, row: UpstreamRow, reply: Callable[[ProbeReply], None]) -> None:
        """
        Probe an upstream; the answer may never arrive.

        :param row: the upstream
        :param reply: called with the answer
        """


@dataclass(slots=True, kw_only=True)
class Probe:
    """An answered probe in the pool."""

    row: UpstreamRow
    in_flight: int
    latency_ms: float
    received_ms: float
    uses: int = 0


class ProbingChooser(ImmediateChooser):
    """
    Probes a few upstreams for each request and chooses among recent answers.

    An upstream is hot when its requests in flight reach a quantile of the pool.
    The cold upstream with the lowest latency is chosen. When all upstreams are hot,
    the one with the fewest requests in flight is chosen.
    """

    def __init__(
        self, *, transport: ProbeTransport, counter: MeasuringCounter, **parts
    ) -> None:
        super().__init__(**parts)
        self._transport = transport
        self._counter = counter
        self._pools: dict[str, list[Probe]] = {}

    def choose(self, service: ServiceRow, call: Call) -> Grant | None:
        grant = super().choose(service, call)
        self._send_probes(service, call)
        return grant

    def pick(self, service: ServiceRow, call: Call) -> UpstreamRow:
        pool = self._fresh_pool(service, call)
        if len(pool) < 2:
            return self._rng.choice(self.candidates(service, call))
        probe = self._select(pool)
        probe.in_flight += 1
        probe.uses += 1
        return probe.row

    def _fresh_pool(self, service: ServiceRow, call: Call) -> list[Probe]:
        oldest_ms = self._clock.now_ms() - MAX_AGE_MS
        name = service.spec.name
        self._pools[name] = pool = [
            probe
            for probe in self._pools.get(name, ())
            if probe.received_ms >= oldest_ms and probe.uses < REUSE_LIMIT
        ]
        return [probe for probe in pool if self.is_open(probe.row, call)]

    def _select(self, pool: list[Probe]) -> Probe:
        loads = sorted(probe.in_flight for probe in pool)
        hot = loads[int(HOT_QUANTILE * (len(loads) - 1))]
        cold = [probe for probe in pool if probe.in_flight < hot]
        if cold:
            return min(cold, key=lambda probe: probe.latency_ms)
        return min(pool, key=lambda probe: probe.in_flight)

    def _send_probes(self, service: ServiceRow, call: Call) -> None:
        rows = self.candidates(service, call)
        count = min(PROBES_PER_REQUEST, len(rows))
        for row in self._rng.sample(rows, count):
            self._counter.count_call(PROBE_BYTES)
            self._transport.send(row, self._make_reply_handler(service.spec.name, row))

    def _make_reply_handler(
        self, name: str, row: UpstreamRow
    ) -> Callable[[ProbeReply], None]:
        def handle_reply(reply: ProbeReply) -> None:
            probe = Probe(
                row=row,
                in_flight=reply.in_flight,
                latency_ms=reply.latency_ms,
                received_ms=self._clock.now_ms(),
            )
            pool = self._pools.setdefault(name, [])
            pool.append(probe)
            if len(pool) > POOL_SIZE:
                del pool[0]

        return handle_reply
