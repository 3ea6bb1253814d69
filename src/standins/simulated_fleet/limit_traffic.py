"""Upstreams that name a limit of requests a second, and a judge of how it is kept."""

import random
from collections import deque
from dataclasses import dataclass

from standins.simulated_fleet.fleet import SimulatedFleet
from standins.simulated_fleet.requests import SimulatedRequest
from standins.simulated_fleet.upstreams import SimulatedUpstream

__all__ = ["LimitPlan", "LimitTraffic", "LimitVerdict"]

WINDOW_MS = 4_000.0
STABLE_MS = 3_000.0  # ``stable_window`` of the users' sites
TOLD_MS = 500.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5.0
WORK_MS = 100.0
MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True, frozen=True)
class LimitPlan:
    """
    Traffic of a run; rates are requests a second.

    ``limits_per_s`` are the limits of the first upstreams, which name them from the
    start on. With ``factor``, the limits are multiplied by it after half of the run.
    ``hosts_replaced_per_s`` hosts are lost while new ones join.
    """

    limits_per_s: tuple[float, ...]
    requests_per_s: float
    factor: float = 1.0
    hosts_replaced_per_s: float = 0.0
    seed: int = 1


@dataclass(slots=True, kw_only=True, frozen=True)
class LimitVerdict:
    """
    What a run showed.

    ``excess`` is the largest number of counted requests above what is allowed in some
    4 s, at any limited upstream; negative if none was exceeded. ``used`` is the share
    of all limits that was sent. ``late_refusals`` counts requests that were refused
    after more than an eighth of a second, and ``failed`` all that failed.
    """

    excess: float
    used: float
    requests: int
    failed: int
    late_refusals: int


class LimitTraffic:
    """
    Sends requests to a fleet some of whose upstreams name limits.

    :param fleet: the fleet, already running
    :param plan: limits and rates
    """

    def __init__(self, *, fleet: SimulatedFleet, plan: LimitPlan) -> None:
        self._fleet = fleet
        self._plan = plan
        self._rng = random.Random(f"{plan.seed}/limit traffic")
        self._requests: list[SimulatedRequest] = []
        self._running = True

    def run(self, span_ms: float) -> LimitVerdict:
        """
        Send traffic and judge it.

        :param span_ms: virtual time in milliseconds
        :return: what it showed
        """
        start_ms = self._fleet.clock.now_ms()
        upstreams = self._fleet.live_upstreams()[: len(self._plan.limits_per_s)]
        self._name_limits(upstreams, 1.0)
        self._schedule()
        if self._plan.hosts_replaced_per_s:
            self._schedule_replacement()
        self._fleet.run(span_ms / 2)
        middle_ms = self._fleet.clock.now_ms()
        self._name_limits(upstreams, self._plan.factor)
        self._fleet.run(span_ms / 2)
        self._running = False
        end_ms = self._fleet.clock.now_ms()
        periods = [(start_ms, middle_ms, 1.0), (middle_ms, end_ms, self._plan.factor)]
        if self._plan.factor == 1.0:
            periods = [(start_ms, end_ms, 1.0)]
        return self._judge(upstreams, periods)

    def _name_limits(self, upstreams: list[SimulatedUpstream], factor: float) -> None:
        for upstream, limit in zip(upstreams, self._plan.limits_per_s, strict=True):
            upstream.limit_per_s = limit * factor

    def _schedule(self) -> None:
        delay_s = self._rng.expovariate(self._plan.requests_per_s)
        self._fleet.loop.call_later(delay_s, self._send)

    def _send(self) -> None:
        if not self._running:
            return
        number = len(self._requests)
        req = SimulatedRequest(
            request_id=f"r{number}",
            target=f"/orders/{number}",
            work_ms=WORK_MS * self._rng.uniform(0.5, 1.5),
        )
        self._requests.append(req)
        host = self._rng.choice(self._fleet.running())
        host.submit(req, self._fleet.plan.services[0])
        self._schedule()

    def _schedule_replacement(self) -> None:
        delay_s = self._rng.expovariate(self._plan.hosts_replaced_per_s)
        self._fleet.loop.call_later(delay_s, self._replace_host)

    def _replace_host(self) -> None:
        if self._running:
            self._rng.choice(self._fleet.running()).kill()
            self._fleet.start_host()
            self._schedule_replacement()

    def _judge(
        self,
        upstreams: list[SimulatedUpstream],
        periods: list[tuple[float, float, float]],
    ) -> LimitVerdict:
        hosts = {host.host_id: host for host in self._fleet.hosts}
        excess, sent, allowed = -LIMIT_SLACK, 0, 0.0
        for upstream, limit in zip(upstreams, self._plan.limits_per_s, strict=True):
            for first_ms, last_ms, factor in periods:
                value = limit * factor
                arrivals = [
                    (at_ms, host_id)
                    for at_ms, host_id in upstream.arrivals
                    if first_ms <= at_ms < last_ms
                ]
                counted = [
                    at_ms
                    for at_ms, host_id in arrivals
                    if at_ms
                    >= hosts[host_id].told_ms.get((upstream.name, value), last_ms)
                    + TOLD_MS
                ]
                excess = max(excess, find_excess(counted, value, first_ms + STABLE_MS))
                sent += sum(at_ms >= first_ms + STABLE_MS for at_ms, _ in arrivals)
                allowed += value * (last_ms - first_ms - STABLE_MS) / MS_PER_S
        return LimitVerdict(
            excess=excess,
            used=sent / allowed if allowed else 0.0,
            requests=len(self._requests),
            failed=sum(bool(req.error) for req in self._requests),
            late_refusals=sum(is_late_refusal(req) for req in self._requests),
        )


def find_excess(arrivals_ms: list[float], limit: float, from_ms: float) -> float:
    """
    Return the largest excess over a limit in some 4 s.

    :param arrivals_ms: times of the requests in order, in milliseconds
    :param limit: the limit in requests a second
    :param from_ms: earliest end of a window that counts, in milliseconds
    :return: requests above what is allowed; negative if the limit was kept
    """
    allowed = LIMIT_FACTOR * limit * WINDOW_MS / MS_PER_S + LIMIT_SLACK
    window: deque[float] = deque()
    excess = -allowed
    for at_ms in arrivals_ms:
        window.append(at_ms)
        while window[0] <= at_ms - WINDOW_MS:
            window.popleft()
        if at_ms >= from_ms:
            excess = max(excess, len(window) - allowed)
    return excess


def is_late_refusal(req: SimulatedRequest) -> bool:
    """
    Return whether a request was held for long and then refused.

    :param req: the request
    :return: whether it was never sent, and its refusal took over an eighth of a second
    """
    if not req.error or req.sent_ms or req.ended_ms is None:
        return False
    return req.ended_ms - req.arrived_ms > MS_PER_S / 8
