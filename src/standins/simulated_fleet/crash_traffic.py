"""Copies of a request that crashes upstreams, beside requests that crash none."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from standins.simulated_fleet.fleet import SimulatedFleet
from standins.simulated_fleet.requests import CALLER, SimulatedRequest

__all__ = ["COPY_VARIANTS", "CrashPlan", "CrashTraffic", "CrashVerdict"]

STABLE_MS = 3_000.0  # ``stable_window`` of the users' sites
THIRD = 3
WORK_MS = 100.0
POLL_MS = 400.0
RESET_MS = 20.0
PREFIX = "/orders/"
CRASHING_PATH = f"{PREFIX}642e59"
MS_PER_S = 1000.0

CopyVariant = Callable[[SimulatedRequest, int], SimulatedRequest]

COPY_VARIANTS: dict[str, CopyVariant] = {
    "equal": lambda req, number: req,
    "other query": lambda req, number: replace(
        req, target=f"{req.target}?page={number}&sort=new"
    ),
    "other caller": lambda req, number: replace(req, caller=f"100.64.0.{number % 250}"),
    "other route": lambda req, number: replace(req, route=f"route-{number // 5}"),
}


@dataclass(slots=True, kw_only=True, frozen=True)
class CrashPlan:
    """
    Traffic of a run; rates are requests a second.

    Innocent requests have targets of their own, but for ``pollers``, which send the
    same request again and again. ``reset_share`` of them lose the connection of their
    first attempt at an upstream that lives on. ``own_crashes_per_s`` upstreams crash by
    themselves, and ``hosts_replaced_per_s`` hosts are lost while new ones join. With
    ``shares_path``, other callers send innocent requests on the path of the copies.
    """

    copies_per_s: float = 4.0
    variant: str = "equal"
    method: str = "GET"
    body: bytes = b""
    innocent_per_s: float = 80.0
    pollers: int = 10
    reset_share: float = 0.02
    own_crashes_per_s: float = 0.0
    hosts_replaced_per_s: float = 0.0
    shares_path: bool = False
    seed: int = 1


@dataclass(slots=True, kw_only=True, frozen=True)
class CrashVerdict:
    """
    What a run showed.

    ``sends_after_third`` counts copies that were sent to upstreams later than
    ``STABLE_MS`` after the third crash, by hosts that had run for so long. ``refused``
    lists innocent requests that were refused as crashing ones, and
    ``longest_refusal_ms`` the longest time for which a poller got no other answer.
    ``contained_ms`` is the time from the first crash to the last copy that was sent,
    trials included, and ``longest_hold_ms`` the longest time from a broken connection
    of an innocent request to its next attempt.
    """

    copies: int
    crashes: int
    sends: int
    sends_after_third: int
    copies_after_third: int
    refused_copies: int
    innocent: int
    innocent_failed: int
    refused: int
    longest_refusal_ms: float
    contained_ms: float
    longest_hold_ms: float


class CrashTraffic:
    """
    Sends copies of a crashing request and innocent requests to random hosts.

    :param fleet: the fleet, already running
    :param plan: rates and variants
    """

    def __init__(self, *, fleet: SimulatedFleet, plan: CrashPlan) -> None:
        self._fleet = fleet
        self._plan = plan
        self._rng = random.Random(f"{plan.seed}/crash traffic")
        self._service = fleet.plan.services[0]
        self._copies: list[SimulatedRequest] = []
        self._innocent: list[SimulatedRequest] = []
        self._crash_ms: list[float] = []
        self._own_crashes = 0
        self._refused_since_ms: dict[str, float] = {}
        self._longest_refusal_ms = 0.0
        self._running = True

    def run(self, span_ms: float) -> CrashVerdict:
        """
        Send traffic and judge it.

        :param span_ms: virtual time in milliseconds
        :return: what it showed
        """
        self._watch_crashes()
        self._schedule(self._plan.innocent_per_s, self._send_innocent)
        self._schedule(self._plan.copies_per_s, self._send_copy)
        self._schedule(self._plan.own_crashes_per_s, self._crash_upstream)
        self._schedule(self._plan.hosts_replaced_per_s, self._replace_host)
        for number in range(self._plan.pollers):
            self._fleet.loop.call_soon(self._poll, number)
        self._fleet.run(span_ms)
        self._running = False
        self._fleet.run(STABLE_MS)
        return self._judge()

    def _schedule(self, rate: float, send: Callable[[], None]) -> None:
        if not rate:
            return

        def fire() -> None:
            if self._running:
                send()
                self._fleet.loop.call_later(self._rng.expovariate(rate), fire)

        self._fleet.loop.call_later(self._rng.expovariate(rate), fire)

    def _watch_crashes(self) -> None:
        while len(self._crash_ms) < self._fleet.crashed - self._own_crashes:
            self._crash_ms.append(self._fleet.clock.now_ms())
        if self._running:
            self._fleet.loop.call_later(0.005, self._watch_crashes)

    def _crash_upstream(self) -> None:
        live = self._fleet.live_upstreams()
        if live:
            self._own_crashes += 1
            self._rng.choice(live).crash()

    def _replace_host(self) -> None:
        self._rng.choice(self._fleet.running()).kill()
        self._fleet.start_host()

    def _submit(self, req: SimulatedRequest) -> None:
        self._rng.choice(self._fleet.running()).submit(req, self._service)

    def _send_copy(self) -> None:
        number = len(self._copies)
        copy = SimulatedRequest(
            request_id=f"copy-{number}",
            target=CRASHING_PATH,
            method=self._plan.method,
            body=self._plan.body,
            idempotent=self._plan.method == "GET",
            work_ms=WORK_MS,
            crashes=True,
        )
        copy = COPY_VARIANTS[self._plan.variant](copy, number)
        self._copies.append(copy)
        self._submit(copy)

    def _send_innocent(self) -> None:
        number = len(self._innocent)
        if self._plan.shares_path:
            caller = f"100.65.0.{number % 250}"
            self._send_harmless(f"{CRASHING_PATH}?page=i{number}", caller=caller)
        else:
            self._send_harmless(f"{PREFIX}i{number}")

    def _send_harmless(
        self,
        target: str,
        on_end: Callable[[SimulatedRequest], None] | None = None,
        caller: str = CALLER,
    ) -> None:
        reset = self._rng.random() < self._plan.reset_share
        req = SimulatedRequest(
            request_id=f"innocent-{len(self._innocent)}",
            target=target,
            work_ms=WORK_MS * self._rng.uniform(0.5, 1.5),
            reset_after_ms=RESET_MS if reset else None,
            caller=caller,
            on_end=on_end,
        )
        self._innocent.append(req)
        self._submit(req)

    def _poll(self, number: int) -> None:
        if not self._running:
            return
        self._send_harmless(f"/status/{number}", self._record_poll)
        self._fleet.loop.call_later(POLL_MS / MS_PER_S, self._poll, number)

    def _record_poll(self, req: SimulatedRequest) -> None:
        now_ms = self._fleet.clock.now_ms()
        if req.error == "request_quarantined":
            since_ms = self._refused_since_ms.setdefault(req.target, now_ms)
            refusal_ms = now_ms - since_ms
            self._longest_refusal_ms = max(self._longest_refusal_ms, refusal_ms)
        else:
            self._refused_since_ms.pop(req.target, None)

    def _judge(self) -> CrashVerdict:
        bound_ms = float("inf")
        if len(self._crash_ms) >= THIRD:
            bound_ms = self._crash_ms[THIRD - 1] + STABLE_MS
        sent = [sent_ms for req in self._copies for sent_ms in req.sent_ms]
        counted = [
            sent_ms
            for req in self._copies
            for sent_ms in req.sent_ms
            if sent_ms > max(bound_ms, req.host_started_ms + STABLE_MS)
        ]
        refused = "request_quarantined"
        return CrashVerdict(
            copies=len(self._copies),
            crashes=len(self._crash_ms),
            sends=len(sent),
            sends_after_third=len(counted),
            copies_after_third=sum(req.arrived_ms > bound_ms for req in self._copies),
            refused_copies=sum(req.error == refused for req in self._copies),
            innocent=len(self._innocent),
            innocent_failed=sum(bool(req.error) for req in self._innocent),
            refused=sum(req.error == refused for req in self._innocent),
            longest_refusal_ms=self._longest_refusal_ms,
            contained_ms=max(sent) - self._crash_ms[0] if self._crash_ms else 0.0,
            longest_hold_ms=max(req.held_ms for req in self._innocent),
        )
