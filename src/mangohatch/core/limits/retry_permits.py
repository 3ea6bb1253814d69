"""Permits for retries beyond a host's own share, from one place for all hosts."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import structlog

from mangohatch.clock import Clock
from mangohatch.core.limits.bucket import TokenBucket
from mangohatch.core.limits.ownership import LimitOwnership
from mangohatch.core.timers import Timers
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.permits import PermitGrant, PermitRequest

__all__ = ["RetryPermits"]

ANSWER_MS = 30.0  # a round trip between zones, plus two event loop iterations
# Half of what may be given out in a window is kept for a burst, and half accrues.
BURST_SHARE = 0.45
MS_PER_S = 1000.0
COLLECT_INTERVAL_MS = 1_000.0
LOG_INTERVAL_MS = 1_000.0
ALL_UPSTREAMS = ""

log = structlog.get_logger()


@dataclass(slots=True, kw_only=True, eq=False)
class PendingRetry:
    """A retry that waits for the answer of the owner until ``until_ms``."""

    until_ms: float
    deliver: Callable[[bool], None]


class RetryPermits:
    """
    Gives out the slack of the retry budget of each service.

    The slack holds for all hosts together, so one host keeps it in a token bucket: the
    owner of the service, which all hosts compute from their members. A host that needs
    a retry asks the owner for a permit, and may use all that is left. A permit is used
    at once or lost, and a new bucket is empty, so neither restarts nor changes of the
    owner add to the slack. A process that has just started, or that hears no peer,
    gives out nothing. While the fleet is partitioned, each part gives out the share of
    its hosts.

    ``granted`` counts the permits that this host gave out as owner.

    :param clock: source of time
    :param bus: messages to the owners
    :param timers: ends requests that the owner does not answer
    :param services: returns the names of all services
    :param slack: retries per window for all hosts together
    :param window_ms: length of the window, in milliseconds
    """

    def __init__(
        self,
        *,
        clock: Clock,
        bus: PeerBus,
        timers: Timers,
        services: Callable[[], Iterable[str]],
        slack: float,
        window_ms: float,
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._timers = timers
        self._services = services
        self._window_ms = window_ms
        self._ownership = LimitOwnership(clock=clock, bus=bus)
        self._buckets: dict[str, TokenBucket] = {}
        self._pending: dict[str, deque[PendingRetry]] = {}
        self._collect_due_ms = 0.0
        self._log_due_ms = 0.0
        self._unanswered = 0
        self.granted = 0
        self.set_slack(slack)
        bus.subscribe(PermitRequest, self._receive_request)
        bus.subscribe(PermitGrant, self._receive_grant)

    def set_slack(self, slack: float) -> None:
        """
        Change the slack.

        :param slack: retries per window for all hosts together
        """
        self._per_s = BURST_SHARE * slack / self._window_ms * MS_PER_S

    def request(self, service: str, deliver: Callable[[bool], None]) -> None:
        """
        Ask for a permit for one retry.

        :param service: name of the service
        :param deliver: called exactly once, with whether the retry is permitted
        """
        if self._ownership.owns(service):
            deliver(self._take(service))
            return
        owner = self._ownership.owner(service)
        if not owner:
            deliver(False)
            return
        until_ms = self._clock.now_ms() + ANSWER_MS
        item = PendingRetry(until_ms=until_ms, deliver=deliver)
        self._pending.setdefault(service, deque()).append(item)
        message = PermitRequest(service_name=service, upstream=ALL_UPSTREAMS, count=1)
        self._bus.send(owner, message)
        self._timers.call_later(ANSWER_MS, lambda: self._give_up(service, item))

    def tick(self) -> None:
        """Collect tokens for the services that this host owns, and drop all others."""
        now_ms = self._clock.now_ms()
        if now_ms < self._collect_due_ms:
            return
        self._collect_due_ms = now_ms + COLLECT_INTERVAL_MS
        owned = {name for name in self._services() if self._ownership.owns(name)}
        for name in self._buckets.keys() - owned:
            del self._buckets[name]
        for name in owned:
            self._count(name)

    def _count(self, service: str) -> int:
        """Count the tokens of a service that this host owns."""
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = TokenBucket(
                clock=self._clock, burst_s=self._window_ms / MS_PER_S
            )
        return bucket.count(self._per_s * self._ownership.share())

    def _take(self, service: str) -> bool:
        if not self._count(service) or not self._ownership.settled():
            return False
        self._buckets[service].take(1)
        self.granted += 1
        return True

    def _give_up(self, service: str, item: PendingRetry) -> None:
        pending = self._pending.get(service, deque())
        if item in pending:
            pending.remove(item)
            self._unanswered += 1
            self._log_unanswered(service)
            item.deliver(False)

    def _log_unanswered(self, service: str) -> None:
        now_ms = self._clock.now_ms()
        if now_ms < self._log_due_ms:
            return
        self._log_due_ms = now_ms + LOG_INTERVAL_MS
        log.info(
            "retry_permits_unanswered",
            service=service,
            owner=self._ownership.owner(service),
            count=self._unanswered,
        )
        self._unanswered = 0

    def _receive_request(self, sender: str, message: PermitRequest) -> None:
        if message.upstream != ALL_UPSTREAMS:
            return
        service = message.service_name
        count = int(self._ownership.owns(service) and self._take(service))
        answer = PermitGrant(service_name=service, upstream=ALL_UPSTREAMS, count=count)
        self._bus.send(sender, answer)

    def _receive_grant(self, sender: str, message: PermitGrant) -> None:
        pending = self._pending.get(message.service_name)
        if message.upstream != ALL_UPSTREAMS or not pending:
            return
        item = pending.popleft()
        # A host that was frozen receives answers long after they were given.
        in_time = self._clock.now_ms() <= item.until_ms
        item.deliver(in_time and message.count > 0)
