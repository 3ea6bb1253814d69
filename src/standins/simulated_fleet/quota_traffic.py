"""Requests of client accounts with quotas, and a judge of how these are kept."""

import random
import statistics
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from mangohatch.core.accounts import Account
from mangohatch.core.limits.quota_bounds import QuotaBounds
from standins.simulated_fleet.fleet import SimulatedFleet
from standins.simulated_fleet.requests import SimulatedRequest

__all__ = ["QuotaPlan", "QuotaTraffic", "QuotaVerdict"]

WORK_MS = 5.0  # upstreams are not the bottleneck
DEADLINE_MS = 5_786.0
REQUEST_KIND = "QuotaRequest"
MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True, frozen=True)
class QuotaPlan:
    """
    Traffic and faults of a run.

    ``demand`` is the rate at which each account sends, by name, in requests a second.
    A third of the hosts is killed or cut off at a third of the run; a partition ends at
    two thirds of it. ``restarts_per_s`` hosts are replaced during the whole run.
    """

    demand: dict[str, float]
    kills: bool = False
    partition: bool = False
    restarts_per_s: float = 0.0
    seed: int = 1


@dataclass(slots=True, kw_only=True, frozen=True)
class QuotaVerdict:
    """
    What a run showed.

    ``excess`` is the largest number of requests above the bound in some window, at any
    account; negative if none was exceeded. ``rejected`` is the share of requests that
    were refused for the quota, of the accounts that send less than it, during faults
    only if there are any. ``used`` is the share of the rates that the others got.
    ``wait_ms`` is the median wait for a permit of the former, and ``messages`` the
    requests for permits per request.
    """

    excess: float
    requests: int
    rejected: float
    used: float
    wait_ms: float
    messages: float
    errors: dict[str, int]


class QuotaTraffic:
    """
    Sends requests of accounts to random hosts of a fleet.

    :param fleet: the fleet, already running
    :param plan: rates and faults
    :param bounds: what may run, which the fleet need not know
    """

    def __init__(
        self, *, fleet: SimulatedFleet, plan: QuotaPlan, bounds: QuotaBounds
    ) -> None:
        self._bounds = bounds
        self._fleet = fleet
        self._plan = plan
        self._rng = random.Random(f"{plan.seed}/quota traffic")
        self._requests: list[SimulatedRequest] = []
        self._running = True

    def run(self, span_ms: float) -> QuotaVerdict:
        """
        Send traffic and judge it.

        :param span_ms: virtual time in milliseconds
        :return: what it showed
        """
        fleet, plan = self._fleet, self._plan
        start_ms = fleet.clock.now_ms()
        asked = self._count_messages()
        for name in plan.demand:
            self._schedule(name)
        if plan.restarts_per_s:
            self._schedule_replacement()
        fleet.run(span_ms / 3)
        fault_ms = fleet.clock.now_ms()
        third = self._rng.sample(fleet.running(), len(fleet.running()) // 3)
        for host in third:
            if plan.kills:
                host.kill()
            if plan.partition:
                fleet.network.groups[host.port.address] = 1
        fleet.run(span_ms / 3)
        healed_ms = fleet.clock.now_ms()
        fleet.network.groups.clear()
        fleet.run(span_ms / 3)
        self._running = False
        if not (plan.kills or plan.partition):
            fault_ms, healed_ms = start_ms, fleet.clock.now_ms()
        sent = self._count_messages() - asked
        return self._judge(fault_ms, healed_ms, span_ms, sent)

    def _count_messages(self) -> int:
        hosts = self._fleet.hosts
        return sum(host.port.usage.sent[REQUEST_KIND] for host in hosts)

    def _schedule(self, name: str) -> None:
        delay_s = self._rng.expovariate(self._plan.demand[name])
        self._fleet.loop.call_later(delay_s, self._send, name)

    def _send(self, name: str) -> None:
        if not self._running:
            return
        number = len(self._requests)
        req = SimulatedRequest(
            request_id=f"r{number}",
            target=f"/orders/{number}",
            work_ms=WORK_MS * self._rng.uniform(0.5, 1.5),
            account=name,
            deadline_ms=DEADLINE_MS,
        )
        self._requests.append(req)
        host = self._rng.choice(self._fleet.running())
        host.submit(req, self._fleet.plan.services[0])
        self._schedule(name)

    def _schedule_replacement(self) -> None:
        delay_s = self._rng.expovariate(self._plan.restarts_per_s)
        self._fleet.loop.call_later(delay_s, self._replace_host)

    def _replace_host(self) -> None:
        if self._running:
            self._rng.choice(self._fleet.running()).kill()
            self._fleet.start_host()
            self._schedule_replacement()

    def _judge(
        self, fault_ms: float, healed_ms: float, span_ms: float, messages: int
    ) -> QuotaVerdict:
        accounts = {item.name: item for item in self._fleet.plan.accounts}
        by_name: dict[str, list[SimulatedRequest]] = {name: [] for name in accounts}
        for req in self._requests:
            by_name[req.account].append(req)
        over = [
            item
            for item in accounts.values()
            if self._plan.demand[item.name] > item.per_s
        ]
        below = [
            req
            for name, items in by_name.items()
            if accounts[name] not in over
            for req in items
            if fault_ms <= req.arrived_ms < healed_ms
        ]
        rejected = sum((req.error or "").startswith("quota_") for req in below)
        waits = [req.sent_ms[0] - req.arrived_ms for req in below if req.sent_ms]
        served = sum(bool(req.sent_ms) for item in over for req in by_name[item.name])
        allowed = sum(item.per_s for item in over) * span_ms / MS_PER_S
        errors: dict[str, int] = {}
        for req in self._requests:
            if req.error:
                errors[req.error] = errors.get(req.error, 0) + 1
        return QuotaVerdict(
            excess=max(
                find_excess(by_name[name], account, self._bounds)
                for name, account in accounts.items()
            ),
            requests=len(self._requests),
            rejected=rejected / len(below) if below else 0.0,
            used=served / allowed if allowed else 0.0,
            wait_ms=statistics.median(waits) if waits else 0.0,
            messages=messages / len(self._requests),
            errors=errors,
        )


def find_excess(
    requests: Sequence[SimulatedRequest], account: Account, bounds: QuotaBounds
) -> float:
    """
    Return the largest excess over the quota of an account in some window.

    :param requests: the requests of the account
    :param account: the account
    :param bounds: the bounds of its quota
    :return: requests above what may run; negative if the quota was kept
    """
    allowed = bounds.allowed(account)
    window: deque[float] = deque()
    excess = -allowed
    for at_ms in sorted(at_ms for req in requests for at_ms in req.sent_ms):
        window.append(at_ms)
        while window[0] <= at_ms - bounds.window_ms:
            window.popleft()
        excess = max(excess, len(window) - allowed)
    return excess
