"""Chooser interface, and the base class of choosers that never queue calls."""

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from mangohatch.clock import Clock
from mangohatch.core.call import Call, Grant, Report
from mangohatch.core.health import Health
from mangohatch.core.tables import ServiceRow, UpstreamRow, UpstreamState
from mangohatch.errors import NoUpstream, RegionExcluded, ZoneEvacuated

__all__ = [
    "AvailableCallback",
    "Chooser",
    "ImmediateChooser",
    "ignore_service",
    "return_zero",
]

AvailableCallback = Callable[[str], None]
CountWaiting = Callable[[str], int]
GetUrgency = Callable[[str], float]

# An evacuation takes minutes, and its end reaches all hosts within a second.
EXCLUDED_RETRY_AFTER_MS = (1_000.0, 2_000.0)

OPEN_STATES = frozenset({UpstreamState.ACTIVE, UpstreamState.WARMING})


class Chooser(ABC):
    """Chooses upstreams for the calls of one host."""

    def __init__(self, *, clock: Clock, rng: random.Random, health: Health) -> None:
        self._clock = clock
        self._rng = rng
        self._health = health
        self._available: AvailableCallback = ignore_service
        self._count_waiting: CountWaiting = return_zero
        self._urgency: GetUrgency = return_zero

    def bind(
        self,
        available: AvailableCallback,
        count_waiting: CountWaiting,
        urgency: GetUrgency | None = None,
    ) -> None:
        """
        Connect the chooser to the queues of its router.

        :param available: called with the name of a service when one of its waiting
            calls may find an upstream
        :param count_waiting: returns the number of waiting calls of a service
        :param urgency: returns the urgency of the waiting calls of a service; None
            means that it is always 0
        """
        self._available = available
        self._count_waiting = count_waiting
        self._urgency = urgency or return_zero

    def typical_ms(self, call: Call) -> float:
        """
        Estimate how long a call typically takes at an upstream.

        :param call: the call
        :return: milliseconds, 0 when unknown
        """
        return 0.0

    def expected_wait_ms(self, service: ServiceRow, call: Call) -> float:
        """
        Estimate the time from one call to the next that leaves the queue of this host.

        :param service: the service of the calls
        :param call: a call that found no upstream
        :return: milliseconds, 0 when unknown
        """
        return 0.0

    def record_request(self, service: ServiceRow) -> None:
        """
        Record that a call has arrived.

        :param service: the service of the call
        """

    @abstractmethod
    def choose(self, service: ServiceRow, call: Call) -> Grant | None:
        """
        Choose an upstream for a call and reserve it.

        :param service: the service of the call
        :param call: the call
        :return: the grant, None when the call has to wait
        :raises NoUpstream: when no upstream accepts the call
        """

    def wait(self, service: ServiceRow, call: Call, waiting: int) -> bool:
        """
        Record that a call found no upstream and waits.

        :param service: the service of the call
        :param call: the call
        :param waiting: number of waiting calls of the service, including this one
        :return: False when the router should serve the queue again at once
        """
        return True

    def release(self, service: ServiceRow, grant: Grant, report: Report) -> None:
        """
        Record that an attempt has ended.

        :param service: the service of the call
        :param grant: the grant that :meth:`choose` returned
        :param report: the result of the attempt
        """

    def idle(self, service: ServiceRow) -> None:
        """
        Record that no call of a service waits after a release.

        :param service: the service
        """

    def tick(self) -> None:
        """Run periodic work such as expiry and renewal."""

    def is_open(self, row: UpstreamRow, call: Call | None) -> bool:
        """
        Return whether an upstream accepts a call.

        :param row: the upstream
        :param call: the call, None when it is not known yet
        :return: whether the upstream accepts it
        """
        if not row.signs.allows(self._clock.now_ms(), row.in_flight):
            return False
        return self._is_open_but_for_pause(row, call)

    def _is_open_but_for_pause(self, row: UpstreamRow, call: Call | None) -> bool:
        if row.state not in OPEN_STATES:
            return False
        if call is not None and row.name in call.avoid:
            return False
        if row.zones.excludes(row.zone, call.allowed_regions if call else None):
            return False
        return self._health.eligible(row, call)

    def opens_ms(self, service: ServiceRow) -> float:
        """
        Return when an upstream takes calls again, if all that would ask for a pause.

        :param service: the service
        :return: monotonic time in milliseconds; infinitely early if an upstream takes
            calls now, infinite if none will by itself
        """
        now_ms = self._clock.now_ms()
        opens_ms = math.inf
        for row in service.upstreams.values():
            if not self._is_open_but_for_pause(row, None):
                continue
            opens_ms = min(opens_ms, row.signs.opens_ms(now_ms))
        return opens_ms

    def candidates(self, service: ServiceRow, call: Call) -> list[UpstreamRow]:
        """
        List the upstreams that accept a call.

        :param service: the service of the call
        :param call: the call
        :return: at least one upstream
        :raises NoUpstream: when no upstream accepts the call
        """
        rows = [row for row in service.upstreams.values() if self.is_open(row, call)]
        if not rows:
            raise self._no_upstream(service, call)
        return rows

    def require_candidate(self, service: ServiceRow, call: Call) -> None:
        """
        Check that some upstream accepts a call now or after a pause.

        :param service: the service of the call
        :param call: the call
        :raises NoUpstream: when no upstream accepts the call
        """
        rows = service.upstreams.values()
        if not any(self._is_open_but_for_pause(row, call) for row in rows):
            raise self._no_upstream(service, call)

    def find_exclusion(self, service: ServiceRow, call: Call) -> NoUpstream | None:
        """
        Return why all upstreams of a service are excluded by their zones, if they are.

        :param service: the service of the call
        :param call: the call
        :return: the error of the call, None if some upstream is in a zone that may
            receive it
        """
        allowed = call.allowed_regions
        rows = service.upstreams.values()
        if not rows or not all(row.zones.excludes(row.zone, allowed) for row in rows):
            return None
        # Callers that are refused together do not return together.
        retry_after_ms = self._rng.uniform(*EXCLUDED_RETRY_AFTER_MS)
        reasons = sorted({row.zones.describe(row.zone, allowed) for row in rows})
        detail = f"no upstream of {call.service} may run it: {', '.join(reasons)}"
        if any(row.zones.is_evacuated(row.zone) for row in rows):
            return ZoneEvacuated(detail, retry_after_ms=retry_after_ms)
        return RegionExcluded(detail, retry_after_ms=retry_after_ms)

    def _no_upstream(self, service: ServiceRow, call: Call) -> NoUpstream:
        excluded = self.find_exclusion(service, call)
        detail = f"service {call.service} has no upstream for new work"
        return excluded or NoUpstream(detail)

    def has_room(self, service: ServiceRow) -> bool:
        """
        Return whether :meth:`choose` may find an upstream, or may raise an error.

        The answer is the same for all calls and costs less than a choice.

        :param service: the service
        :return: False only if every call has to wait
        """
        return True

    def make_grant(self, call: Call, row: UpstreamRow, token: int = 0) -> Grant:
        """
        Create a grant with the current time.

        :param call: the call
        :param row: the upstream that runs the call
        :param token: token of the slot lease in use, 0 without a lease
        :return: the grant
        """
        now_ms = self._clock.now_ms()
        return Grant(call=call, upstream=row, granted_ms=now_ms, token=token)


class ImmediateChooser(Chooser):
    """Base class of choosers that choose at once; calls never wait at the host."""

    def choose(self, service: ServiceRow, call: Call) -> Grant | None:
        return self.make_grant(call, self.pick(service, call))

    @abstractmethod
    def pick(self, service: ServiceRow, call: Call) -> UpstreamRow:
        """
        Pick an upstream.

        :param service: the service of the call
        :param call: the call
        :return: the upstream
        :raises NoUpstream: when no upstream accepts the call
        """


def return_zero(service: str) -> int:
    """
    Return 0; the default until the chooser is bound to the queues of a router.

    :param service: name of a service
    :return: 0
    """
    return 0


def ignore_service(service: str) -> None:
    """
    Do nothing; the default until the chooser is bound to a router.

    :param service: name of a service
    """
