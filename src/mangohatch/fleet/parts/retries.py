"""The budget of retries."""

from collections.abc import Callable, Iterable

from mangohatch.clock import Clock
from mangohatch.core.limits.retry_permits import RetryPermits
from mangohatch.core.retry import FleetRetryBudget
from mangohatch.core.timers import Timers
from mangohatch.fleet.part import Counter, HostPart
from mangohatch.fleet.settings import FleetBounds, FleetSettings
from mangohatch.peer.bus import PeerBus

__all__ = ["Retries"]


class Retries(HostPart):
    """
    Limits the retries of all hosts together.

    :param bounds: ratio, slack and window of the budget
    :param clock: source of time
    :param bus: messages to the owners of permits
    :param timers: ends requests for permits without an answer
    :param services: returns the names of all services
    """

    name = "retry permits"

    def __init__(
        self,
        *,
        bounds: FleetBounds,
        clock: Clock,
        bus: PeerBus,
        timers: Timers,
        services: Callable[[], Iterable[str]],
    ) -> None:
        self._permits = RetryPermits(
            clock=clock,
            bus=bus,
            timers=timers,
            services=services,
            slack=bounds.retry_slack,
            window_ms=bounds.retry_window_ms,
        )
        self.budget = FleetRetryBudget(
            clock=clock,
            ratio=bounds.retry_ratio,
            window_ms=bounds.retry_window_ms,
            permits=self._permits,
        )

    def counters(self) -> Iterable[Counter]:
        return (
            (
                "retry_permits_granted",
                "Retries permitted to hosts from the slack of the retry budget.",
                self._permits.granted,
            ),
        )

    def tick(self) -> None:
        self._permits.tick()

    def reload(self, cfg: FleetSettings) -> None:
        self.budget.set_bounds(
            ratio=cfg.bounds.retry_ratio, slack=cfg.bounds.retry_slack
        )
