"""Upstreams that leave or ask for pauses, and a judge of how both are obeyed."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from standins.simulated_fleet.fleet import SimulatedFleet
from standins.simulated_fleet.host import OBJECTIVE_MS, SimulatedHost
from standins.simulated_fleet.requests import SimulatedRequest
from standins.simulated_fleet.upstreams import SimulatedUpstream

__all__ = ["SignPlan", "SignTraffic", "SignVerdict"]

DRAIN_MS = 2_000.0  # ``drain`` of the users' sites
UNDER_WAY_MS = 500.0  # requests that arrive later are not under way
MAX_WITHIN_PAUSE = 2
LATE_REFUSAL_MS = 125.0  # 100 ms after it is known, and the round trip before
WORK_MS = 100.0
UNSAFE_SHARE = 0.3
LAST_RESPONSES_MS = 4_000.0
MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True, frozen=True)
class SignPlan:
    """
    Traffic and signs of a run; rates are events a second.

    ``paused_share`` of the upstreams ask for pauses of ``pause_ms``, each of them for
    ``trouble_ms`` a time. With ``oracle``, all hosts know of them at once. An upstream
    that leaves is still listed as active, and ``lapses_per_s`` entries lapse and
    return. With ``store_away``, the store is away in the middle third of the run.
    """

    requests_per_s: float
    leaving_per_s: float = 0.0
    paused_share: float = 0.0
    pause_ms: float = 1_000.0
    trouble_ms: float = 1_000.0
    hosts_replaced_per_s: float = 0.0
    lapses_per_s: float = 0.0
    burst: float = 1.0
    oracle: bool = False
    store_away: bool = False
    seed: int = 1


@dataclass(slots=True, kw_only=True, frozen=True)
class SignVerdict:
    """
    What a run showed.

    ``to_leaving`` counts requests that reached an upstream although they came to their
    host later than ``DRAIN_MS`` after it had passed on that this upstream leaves.
    ``in_pauses`` counts requests of a host beyond ``MAX_WITHIN_PAUSE`` in a pause,
    from half a second on. ``late_refusals`` counts requests that were refused late
    without having been sent.
    """

    to_leaving: int
    in_pauses: int
    requests: int
    served: int
    in_time: int
    failed: int
    late_refusals: int
    left: int
    pauses: int


class SignTraffic:
    """
    Sends requests to a fleet some of whose upstreams leave or ask for pauses.

    :param fleet: the fleet, already running
    :param plan: rates and signs
    """

    def __init__(self, *, fleet: SimulatedFleet, plan: SignPlan) -> None:
        self._fleet = fleet
        self._plan = plan
        self._rng = random.Random(f"{plan.seed}/sign traffic")
        self._requests: list[SimulatedRequest] = []
        self._hosts: dict[str, SimulatedHost] = {}
        self._left: list[SimulatedUpstream] = []
        self._pausing: list[SimulatedUpstream] = []
        self._running = True
        self._rate_per_s = plan.requests_per_s

    def run(self, span_ms: float) -> SignVerdict:
        """
        Send traffic and judge it; a burst comes in the middle third.

        :param span_ms: virtual time in milliseconds
        :return: what it showed
        """
        plan = self._plan
        upstreams = self._fleet.live_upstreams()
        self._pausing = upstreams[: round(plan.paused_share * len(upstreams))]
        for upstream in self._pausing:
            self._repeat(MS_PER_S / (2 * plan.trouble_ms), self._pauser(upstream))
        self._fleet.loop.call_soon(self._send)
        self._repeat(plan.leaving_per_s, self._leave)
        self._repeat(plan.hosts_replaced_per_s, self._replace_host)
        self._repeat(plan.lapses_per_s, self._lapse)
        for factor, store_away in (
            (1.0, False),
            (plan.burst, plan.store_away),
            (1.0, False),
        ):
            self._rate_per_s = plan.requests_per_s * factor
            self._fleet.store.down = store_away
            self._fleet.run(span_ms / 3)
        self._running = False
        self._fleet.run(LAST_RESPONSES_MS)
        return self._judge()

    def _repeat(self, per_s: float, action) -> None:
        if not per_s or not self._running:
            return

        def act() -> None:
            if self._running:
                action()
                self._repeat(per_s, action)

        self._fleet.loop.call_later(self._rng.expovariate(per_s), act)

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
        self._hosts[req.request_id] = host
        host.submit(req, self._fleet.plan.services[0])
        delay_s = self._rng.expovariate(self._rate_per_s)
        self._fleet.loop.call_later(delay_s, self._send)

    def _leave(self) -> None:
        staying = [
            item
            for item in self._fleet.live_upstreams()
            if not item.leaving and item not in self._pausing
        ]
        if len(staying) > 2:
            upstream = self._rng.choice(staying)
            upstream.leaving = True
            self._left.append(upstream)

    def _pauser(self, upstream: SimulatedUpstream):
        def pause() -> None:
            trouble_ms = self._plan.trouble_ms
            upstream.pause_ms = self._plan.pause_ms
            upstream.pauses_until_ms = self._fleet.clock.now_ms() + trouble_ms
            if self._plan.oracle:
                self._tell_all(upstream)

        return pause

    def _tell_all(self, upstream: SimulatedUpstream) -> None:
        for host in self._fleet.running():
            for row in host.fleet_host.tables.upstreams():
                if row.name == upstream.name:
                    row.signs.paused_until_ms = upstream.pauses_until_ms

    def _replace_host(self) -> None:
        self._rng.choice(self._fleet.running()).kill()
        self._fleet.start_host()

    def _lapse(self) -> None:
        if self._left:
            self._fleet.lapse_entry(self._rng.choice(self._left).name)

    def _judge(self) -> SignVerdict:
        requests = self._requests
        ended = [req for req in requests if req.ended_ms is not None]
        return SignVerdict(
            to_leaving=self._count_to_leaving(),
            in_pauses=self._count_in_pauses(),
            requests=len(requests),
            served=sum(not req.error for req in ended),
            in_time=sum(is_in_time(req) for req in ended),
            failed=sum(bool(req.error) for req in ended),
            late_refusals=sum(is_late_refusal(req) for req in ended),
            left=len(self._left),
            pauses=sum(len(host.pauses) for host in self._fleet.hosts),
        )

    def _count_to_leaving(self) -> int:
        count = 0
        for req in self._requests:
            host = self._hosts[req.request_id]
            for name in req.reached:
                told_ms = host.leaving_ms.get(name)
                count += told_ms is not None and req.arrived_ms > told_ms + DRAIN_MS
        return count

    def _count_in_pauses(self) -> int:
        arrivals: dict[tuple[str, str], list[float]] = {}
        for upstream in self._pausing:
            for at_ms, host_id in upstream.arrivals:
                arrivals.setdefault((host_id, upstream.name), []).append(at_ms)
        return sum(
            max(
                0,
                count_between(arrivals.get((host.host_id, name), ()), pause)
                - MAX_WITHIN_PAUSE,
            )
            for host in self._fleet.hosts
            for name, *pause in host.pauses
        )


def count_between(arrivals_ms: Sequence[float], pause: Sequence[float]) -> int:
    """
    Count the requests within a pause that were not under way when it began.

    :param arrivals_ms: times of the requests, in milliseconds
    :param pause: begin and end of the pause, in milliseconds
    :return: number of requests
    """
    begin_ms, end_ms = pause
    return sum(begin_ms + UNDER_WAY_MS < at_ms < end_ms for at_ms in arrivals_ms)


def is_in_time(req: SimulatedRequest) -> bool:
    """
    Return whether a request was answered within the objective of the hosts.

    :param req: a request that has ended
    :return: whether it was served in time
    """
    assert req.ended_ms is not None
    return not req.error and req.ended_ms - req.arrived_ms <= OBJECTIVE_MS


def is_late_refusal(req: SimulatedRequest) -> bool:
    """
    Return whether a request was held for long and then refused.

    :param req: a request that has ended
    :return: whether it was never sent, and its refusal came late
    """
    assert req.ended_ms is not None
    if not req.error or req.sent_ms:
        return False
    return req.ended_ms - req.arrived_ms > LATE_REFUSAL_MS
