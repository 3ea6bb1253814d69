"""Upstreams that become cold, and a judge of how many requests they got."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from standins.simulated_fleet.fleet import SimulatedFleet, zone_name
from standins.simulated_fleet.host import SimulatedHost
from standins.simulated_fleet.requests import SimulatedRequest
from standins.simulated_fleet.upstreams import SimulatedUpstream

__all__ = ["ColdPlan", "ColdTraffic", "ColdVerdict"]

WINDOW_MS = 1_000.0
WORK_MS = 100.0
FIRST_RETURN_MS = 1_000.0
PAUSE_MS = (300.0, 4_000.0)
PARTITION_MS = 6_000.0
SHARE_AFTER_MS = 1_000.0  # permits are not counted as usable before
MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True, frozen=True)
class ColdPlan:
    """
    Traffic of a run; rates are requests or events a second.

    The upstreams of a zone become cold together every ``return_every_ms``, each time
    another zone, for ``cold_ms``. With ``hosts_used``, only so many hosts get requests.
    Hosts are killed and replaced, or paused, at the given rates. With ``partitioned``,
    parts of the hosts are cut off from each other around each return.
    """

    requests_per_s: float
    cold_ms: float = 3_000.0
    return_every_ms: float = 5_000.0
    hosts_used: int | None = None
    hosts_replaced_per_s: float = 0.0
    hosts_paused_per_s: float = 0.0
    partitioned: bool = False
    seed: int = 1


@dataclass(slots=True, kw_only=True, frozen=True)
class ColdVerdict:
    """
    What a run showed.

    ``beyond`` counts the requests that exceeded what a cold upstream may get in some
    second, and ``most`` is the largest number in a second. ``used`` is the share of the
    warm-up rate that cold upstreams got from a second after their return on, of those
    that a host with requests uses, and ``least`` the lowest share of one of them.
    """

    beyond: int
    most: int
    used: float
    least: float
    requests: int
    failed: int


@dataclass(slots=True, kw_only=True, frozen=True)
class ColdPeriod:
    """A time in which an upstream was cold."""

    upstream: SimulatedUpstream
    since_ms: float
    until_ms: float


class ColdTraffic:
    """
    Sends requests to a fleet some of whose upstreams become cold.

    :param fleet: the fleet, already running; its plan has a warm-up rate and bounds
    :param plan: rates and failures
    """

    def __init__(self, *, fleet: SimulatedFleet, plan: ColdPlan) -> None:
        self._fleet = fleet
        self._plan = plan
        self._rng = random.Random(f"{plan.seed}/cold traffic")
        self._requests: list[SimulatedRequest] = []
        self._periods: list[ColdPeriod] = []
        self._running = True
        self._zone = 0

    def run(self, span_ms: float) -> ColdVerdict:
        """
        Send traffic and judge it.

        :param span_ms: virtual time in milliseconds
        :return: what it showed
        """
        plan = self._plan
        self._every(plan.requests_per_s, self._send)
        self._every(plan.hosts_replaced_per_s, self._replace)
        self._every(plan.hosts_paused_per_s, self._pause)
        self._later(FIRST_RETURN_MS, self._return_zone)
        self._fleet.run(span_ms)
        self._running = False
        return self._judge(self._fleet.clock.now_ms())

    def _later(self, delay_ms: float, function: Callable[[], None]) -> None:
        self._fleet.loop.call_later(delay_ms / MS_PER_S, function)

    def _every(self, per_s: float, function: Callable[[], None]) -> None:
        def run() -> None:
            if self._running:
                function()
                self._later(self._rng.expovariate(per_s) * MS_PER_S, run)

        if per_s > 0.0:
            self._later(self._rng.expovariate(per_s) * MS_PER_S, run)

    def _send(self) -> None:
        number = len(self._requests)
        req = SimulatedRequest(
            request_id=f"r{number}",
            target=f"/orders/{number}",
            work_ms=WORK_MS * self._rng.uniform(0.5, 1.5),
        )
        hosts = [host for host in self._fleet.running() if not host.paused]
        if hosts:
            self._requests.append(req)
            host = self._rng.choice(hosts[: self._plan.hosts_used])
            host.submit(req, self._fleet.plan.services[0])

    def _return_zone(self) -> None:
        if not self._running:
            return
        now_ms = self._fleet.clock.now_ms()
        self._zone += 1
        name = zone_name(self._zone)
        for upstream in self._fleet.live_upstreams():
            if zone_name(int(upstream.name.split("-")[1])) == name:
                self._fleet.start_cold(upstream.name, self._plan.cold_ms)
                until_ms = now_ms + self._plan.cold_ms
                self._periods.append(
                    ColdPeriod(upstream=upstream, since_ms=now_ms, until_ms=until_ms)
                )
        self._later(self._plan.return_every_ms, self._return_zone)
        if self._plan.partitioned:
            before_ms = self._rng.uniform(0.0, self._plan.return_every_ms)
            self._later(before_ms, self._partition)

    def _partition(self) -> None:
        parts = self._rng.choice((2, 3))
        self._fleet.network.groups = {
            host.port.address: self._rng.randrange(parts)
            for host in self._fleet.running()
        }
        self._later(PARTITION_MS, self._fleet.network.groups.clear)

    def _replace(self) -> None:
        victim = self._rng.choice(self._fleet.running())
        victim.kill()
        self._fleet.start_host()

    def _pause(self) -> None:
        hosts = [host for host in self._fleet.running() if not host.paused]
        if hosts:
            host = self._rng.choice(hosts)
            host.pause()
            self._later(self._rng.uniform(*PAUSE_MS), lambda: resume(host))

    def _is_used(self, upstream: str) -> bool:
        service = self._fleet.plan.services[0]
        hosts = self._fleet.running()[: self._plan.hosts_used]
        return any(
            upstream in host.fleet_host.subset.assigned(service) for host in hosts
        )

    def _judge(self, end_ms: float) -> ColdVerdict:
        warm_up, cold = self._fleet.plan.warm_up, self._fleet.plan.cold
        assert warm_up is not None and cold is not None
        allowed = warm_up.per_s * cold.over + cold.slack
        beyond, most = 0, 0
        shares = []
        for period in self._periods:
            until_ms = min(end_ms, period.until_ms)
            times = [
                at_ms
                for at_ms, _ in period.upstream.arrivals
                if period.since_ms <= at_ms < until_ms
            ]
            window: deque[float] = deque()
            for at_ms in times:
                window.append(at_ms)
                while window[0] <= at_ms - WINDOW_MS:
                    window.popleft()
                most = max(most, len(window))
                beyond += len(window) > allowed
            first_ms = period.since_ms + SHARE_AFTER_MS
            usable = (until_ms - first_ms) / MS_PER_S * warm_up.per_s
            if usable >= 1.0 and self._is_used(period.upstream.name):
                shares.append(sum(at_ms >= first_ms for at_ms in times) / usable)
        return ColdVerdict(
            beyond=beyond,
            most=most,
            used=sum(shares) / len(shares) if shares else 0.0,
            least=min(shares, default=0.0),
            requests=len(self._requests),
            failed=sum(bool(req.error) for req in self._requests),
        )


def resume(host: SimulatedHost) -> None:
    """
    Resume a host unless it was killed meanwhile.

    :param host: a paused host
    """
    if host.running:
        host.resume()
