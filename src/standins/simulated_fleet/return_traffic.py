"""Callers that return after all hosts have lost power."""

import random
from dataclasses import dataclass, replace

from standins.simulated_fleet.fleet import SimulatedFleet
from standins.simulated_fleet.requests import SimulatedRequest

__all__ = ["CallerOutcome", "ReturnTraffic"]

CONNECT_TIMEOUT_MS = 1_000.0
MAX_ATTEMPTS = 3
MIN_PAUSE_MS = 20.0
MEAN_WORK_MS = 100.0
WORK_SPREAD = 0.3
MS_PER_S = 1000.0


@dataclass(slots=True, kw_only=True)
class CallerOutcome:
    """A request of a caller; times are monotonic milliseconds."""

    first_ms: float
    ended_ms: float | None = None
    served: bool = False
    attempts: int = 0

    def in_time(self, objective_ms: float) -> bool:
        """
        Return whether the caller was served within its objective.

        :param objective_ms: milliseconds from the first attempt
        :return: whether it was served by then
        """
        if not self.served or self.ended_ms is None:
            return False
        return self.ended_ms - self.first_ms <= objective_ms


class ReturnTraffic:
    """
    Sends requests, each from a caller that repeats it within its deadline.

    A host without power does not answer, and its caller tries another one after
    ``CONNECT_TIMEOUT_MS``.

    :param fleet: the fleet, already running
    :param requests_per_s: first attempts a second
    :param objective_ms: time from the first attempt within which callers want an answer
    :param deadline_ms: time from the first attempt after which they give up
    :param seed: seed of the callers
    """

    def __init__(
        self,
        *,
        fleet: SimulatedFleet,
        requests_per_s: float,
        objective_ms: float,
        deadline_ms: float,
        seed: int,
    ) -> None:
        self.outcomes: list[CallerOutcome] = []
        self._fleet = fleet
        self._requests_per_s = requests_per_s
        self._objective_ms = objective_ms
        self._deadline_ms = deadline_ms
        self._rng = random.Random(f"{seed}/returning callers")
        self._running = False

    def start(self) -> None:
        """Send requests from now on."""
        self._running = True
        self._schedule()

    def stop(self) -> None:
        """Send no further first attempts."""
        self._running = False

    def share_in_time(self, begin_ms: float, end_ms: float) -> float:
        """
        Return the share of requests that were served within their objective.

        :param begin_ms: earliest first attempt
        :param end_ms: end of the first attempts counted
        :return: share of the requests, 0 to 1
        """
        chosen = [item for item in self.outcomes if begin_ms <= item.first_ms < end_ms]
        return sum(item.in_time(self._objective_ms) for item in chosen) / len(chosen)

    def _schedule(self) -> None:
        delay_s = self._rng.expovariate(self._requests_per_s)
        self._fleet.loop.call_later(delay_s, self._begin)

    def _begin(self) -> None:
        if not self._running:
            return
        outcome = CallerOutcome(first_ms=self._fleet.clock.now_ms())
        self.outcomes.append(outcome)
        work_ms = MEAN_WORK_MS * max(0.1, self._rng.gauss(1.0, WORK_SPREAD))
        self._attempt(outcome, work_ms)
        self._schedule()

    def _attempt(self, outcome: CallerOutcome, work_ms: float) -> None:
        now_ms = self._fleet.clock.now_ms()
        left_ms = outcome.first_ms + self._deadline_ms - now_ms
        if left_ms <= 0.0 or outcome.attempts >= MAX_ATTEMPTS:
            outcome.ended_ms = now_ms
            return
        outcome.attempts += 1
        host = self._rng.choice(self._fleet.hosts[-self._fleet.plan.hosts :])
        if not host.running or host.fleet_host.not_ready() is not None:
            self._retry_later(CONNECT_TIMEOUT_MS, outcome, work_ms)
            return
        number = len(self.outcomes)
        req = SimulatedRequest(
            request_id=f"r{number}-{outcome.attempts}",
            target=f"/orders/{number}",
            work_ms=work_ms,
            deadline_ms=left_ms,
            objective_ms=self._objective_ms,
            on_end=lambda ended: self._end(outcome, replace(ended)),
        )
        host.submit(req, self._fleet.plan.services[0])

    def _end(self, outcome: CallerOutcome, req: SimulatedRequest) -> None:
        if req.error == "":
            outcome.served = True
            outcome.ended_ms = req.ended_ms
            return
        pause_ms = max(MIN_PAUSE_MS, req.retry_after_ms or 0.0)
        self._retry_later(pause_ms, outcome, req.work_ms)

    def _retry_later(
        self, pause_ms: float, outcome: CallerOutcome, work_ms: float
    ) -> None:
        self._fleet.loop.call_later(
            pause_ms / MS_PER_S, lambda: self._attempt(outcome, work_ms)
        )
