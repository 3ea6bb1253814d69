"""Evacuations of zones, and a judge of how soon and how long hosts obey them."""

import math
import random
from dataclasses import dataclass

from standins.simulated_fleet.fleet import ZONES, SimulatedFleet, zone_name
from standins.simulated_fleet.host import OBJECTIVE_MS, SimulatedHost
from standins.simulated_fleet.requests import SimulatedRequest

__all__ = ["EvacuationPlan", "EvacuationTraffic", "EvacuationVerdict"]

IN_FORCE_MS = 1_000.0  # after the acknowledgement, or after the first peer knows it
IMMEDIATE_MS = 125.0  # 100 ms after it is known, and a tick of the host
WORK_MS = 100.0
UNSAFE_SHARE = 0.3
LAST_RESPONSES_MS = 4_000.0
MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True, frozen=True)
class EvacuationPlan:
    """
    Traffic and evacuations of a run; rates are events a second.

    ``zones`` are evacuated at random times, and for ``evacuated_ms`` each time. One of
    them flaps with ``flaps_per_s``. ``cut_share`` of the hosts do not reach the store.
    ``hosts_replaced_per_s`` hosts are lost while new ones join; with ``store_away``
    the store is away in the last third of the run, in which nothing is written.
    """

    requests_per_s: float
    evacuations_per_s: float = 0.3
    evacuated_ms: float = 4_000.0
    zones: int = 1
    flaps_per_s: float = 0.0
    cut_share: float = 0.0
    hosts_replaced_per_s: float = 0.0
    store_away: bool = False
    seed: int = 1


@dataclass(slots=True, kw_only=True, frozen=True)
class EvacuationVerdict:
    """
    What a run showed.

    ``to_evacuated`` counts requests that reached an evacuated zone later than
    ``IN_FORCE_MS`` after the acknowledgement, and ``to_evacuated_cut`` those of hosts
    without the store, later than that after the first peer knew it. ``slowest_ms`` is
    the longest time until an evacuation was in force on a host, unless the store went
    away meanwhile. ``late_refusals``
    counts refusals by evacuations that came later than ``IMMEDIATE_MS``.
    """

    to_evacuated: int
    to_evacuated_cut: int
    slowest_ms: float
    evacuations: int
    requests: int
    served: int
    in_time: int
    refused: int
    late_refusals: int
    calls_per_s: float


@dataclass(slots=True, kw_only=True)
class Evacuation:
    """An evacuation, with its begin and end as acknowledged by the store."""

    zone: str
    begin_ms: float
    revision: int
    end_ms: float | None = None

    def follows(self, other: "Evacuation") -> bool:
        """
        Return whether another evacuation of the zone ended shortly before.

        :param other: an evacuation
        :return: whether it ended within ``IN_FORCE_MS`` before this one began
        """
        if other.zone != self.zone or other.end_ms is None:
            return False
        return 0.0 <= self.begin_ms - other.end_ms < IN_FORCE_MS

    def covers(self, from_ms: float, at_ms: float) -> bool:
        """
        Return whether a time is after another one and before the end.

        :param from_ms: monotonic time in milliseconds
        :param at_ms: monotonic time in milliseconds
        :return: whether requests were not allowed then
        """
        return from_ms < at_ms and (self.end_ms is None or at_ms < self.end_ms)


class EvacuationTraffic:
    """
    Sends requests to a fleet while zones are evacuated.

    :param fleet: the fleet, already running
    :param plan: rates and evacuations
    """

    def __init__(self, *, fleet: SimulatedFleet, plan: EvacuationPlan) -> None:
        self.evacuations: list[Evacuation] = []
        self._fleet = fleet
        self._plan = plan
        self._rng = random.Random(f"{plan.seed}/evacuations")
        self._requests: list[SimulatedRequest] = []
        self._zones = [zone_name(number) for number in range(ZONES)][: plan.zones]
        self._open: dict[str, Evacuation] = {}
        self._running = True
        self._writable = True
        self._away_ms = math.inf

    def run(self, span_ms: float) -> EvacuationVerdict:
        """
        Send traffic, evacuate zones and judge.

        :param span_ms: virtual time in milliseconds
        :return: what the run showed
        """
        plan, fleet = self._plan, self._fleet
        hosts = fleet.running()
        for host in self._rng.sample(hosts, round(plan.cut_share * len(hosts))):
            fleet.store.cut.add(host.port.address)
        fleet.loop.call_soon(self._send)
        self._repeat(plan.evacuations_per_s, self._evacuate)
        self._repeat(plan.flaps_per_s, self._flap)
        self._repeat(plan.hosts_replaced_per_s, self._replace_host)
        calls = fleet.store.calls
        fleet.run(span_ms * 2 / 3)
        if plan.store_away:
            self._writable = False
            self._away_ms = fleet.clock.now_ms()
            fleet.store.down = True
        fleet.run(span_ms / 3)
        self._running = False
        calls_per_s = (fleet.store.calls - calls) / span_ms * MS_PER_S
        fleet.run(LAST_RESPONSES_MS)
        return self._judge(calls_per_s)

    def evacuate(self, zone: str) -> None:
        """
        Evacuate a zone.

        :param zone: name of the zone, which is not evacuated
        """
        self._fleet.store.set_evacuated(zone, True)
        self._open[zone] = Evacuation(
            zone=zone,
            begin_ms=self._fleet.clock.now_ms(),
            revision=self._fleet.store.read_revision(zone),
        )
        self.evacuations.append(self._open[zone])

    def end(self, zone: str) -> None:
        """
        End the evacuation of a zone.

        :param zone: name of the zone
        """
        if zone in self._open and self._writable:
            self._fleet.store.set_evacuated(zone, False)
            self._open.pop(zone).end_ms = self._fleet.clock.now_ms()

    def _repeat(self, per_s: float, action) -> None:
        if not per_s or not self._running:
            return

        def act() -> None:
            if self._running:
                action()
                self._repeat(per_s, action)

        self._fleet.loop.call_later(self._rng.expovariate(per_s), act)

    def _evacuate(self) -> None:
        closed = [zone for zone in self._zones if zone not in self._open]
        if not closed or not self._writable:
            return
        zone = self._rng.choice(closed)
        self.evacuate(zone)
        span_s = self._plan.evacuated_ms / MS_PER_S
        self._fleet.loop.call_later(span_s, self.end, zone)

    def _flap(self) -> None:
        zone = self._zones[-1]
        if zone in self._open:
            self.end(zone)
        elif self._writable:
            self.evacuate(zone)

    def _replace_host(self) -> None:
        self._rng.choice(self._fleet.running()).kill()
        self._fleet.start_host()

    def _send(self) -> None:
        if not self._running:
            return
        number = len(self._requests)
        req = SimulatedRequest(
            request_id=f"r{number}",
            target=f"/orders/{number}",
            work_ms=WORK_MS * self._rng.uniform(0.5, 1.5),
            idempotent=self._rng.random() >= UNSAFE_SHARE,
        )
        self._requests.append(req)
        host = self._rng.choice(self._fleet.running())
        host.submit(req, self._fleet.plan.services[0])
        delay_s = self._rng.expovariate(self._plan.requests_per_s)
        self._fleet.loop.call_later(delay_s, self._send)

    def _judge(self, calls_per_s: float) -> EvacuationVerdict:
        ended = [req for req in self._requests if req.ended_ms is not None]
        refused = [req for req in ended if req.error == "zone_evacuated"]
        counts = self._count_to_evacuated()
        return EvacuationVerdict(
            to_evacuated=counts[False],
            to_evacuated_cut=counts[True],
            slowest_ms=max(map(self._slowest_ms, self.evacuations), default=0.0),
            evacuations=len(self.evacuations),
            requests=len(self._requests),
            served=sum(not req.error for req in ended),
            in_time=sum(
                not req.error and took_ms(req) <= OBJECTIVE_MS for req in ended
            ),
            refused=len(refused),
            late_refusals=sum(took_ms(req) > IMMEDIATE_MS for req in refused),
            calls_per_s=calls_per_s,
        )

    def _count_to_evacuated(self) -> dict[bool, int]:
        hosts = {host.host_id: host for host in self._fleet.hosts}
        counts = {False: 0, True: 0}
        for upstream in self._fleet.live_upstreams():
            zone = zone_name(int(upstream.name.rpartition("-")[2]))
            for item in self.evacuations:
                if item.zone != zone:
                    continue
                known_ms = self._first_known_ms(item)
                # No host reaches a store that goes away before it is in force.
                all_cut = item.begin_ms + IN_FORCE_MS > self._away_ms
                for at_ms, host_id in upstream.arrivals:
                    address = hosts[host_id].port.address
                    cut = all_cut or address in self._fleet.store.cut
                    from_ms = known_ms if cut else item.begin_ms
                    counts[cut] += item.covers(from_ms + IN_FORCE_MS, at_ms)
        return counts

    def _first_known_ms(self, item: Evacuation) -> float:
        times_ms = (known_at_ms(host, item) for host in self._fleet.hosts)
        known_ms = (at_ms for at_ms in times_ms if at_ms is not None)
        return min(known_ms, default=math.inf)

    def _slowest_ms(self, item: Evacuation) -> float:
        """Return the longest time on hosts that ran when the evacuation began."""
        if item.end_ms is not None and item.end_ms < item.begin_ms + IN_FORCE_MS:
            return 0.0  # may have ended before all hosts learnt of it
        if item.begin_ms + IN_FORCE_MS > self._away_ms:
            return 0.0
        if any(item.follows(other) for other in self.evacuations):
            return 0.0  # hosts may have missed the time between the two
        return max(
            (known_at_ms(host, item) or self._fleet.clock.now_ms()) - item.begin_ms
            for host in self._fleet.running()
            if host.started_ms < item.begin_ms - IN_FORCE_MS
        )


def known_at_ms(host: SimulatedHost, item: Evacuation) -> float | None:
    """
    Return when an evacuation came into force on a host.

    :param host: the host
    :param item: the evacuation
    :return: monotonic time in milliseconds, None if it has not
    """
    return host.evacuated_ms.get(item.zone, {}).get(item.revision)


def took_ms(req: SimulatedRequest) -> float:
    """
    Return how long a request took.

    :param req: a request that has ended
    :return: milliseconds
    """
    assert req.ended_ms is not None
    return req.ended_ms - req.arrived_ms
