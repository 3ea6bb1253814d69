"""The interface of choosers and what immediate choosers share."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from mangohatch.clock import Clock
from mangohatch.core.call import Call, Grant, Report
from mangohatch.core.health import Health
from mangohatch.core.tables import ServiceRow, UpstreamRow, UpstreamState
from mangohatch.errors import NoUpstream

__all__ = ["AvailableCallback", "Chooser", "ImmediateChooser"]

AvailableCallback = Callable[[str], None]
CountWaiting = Callable[[str], int]
GetUrgency = Callable[[str], float]

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

        :param available: to be called when a call that waits may find an
            upstream; takes the name of the service
        :param count_waiting: counts the calls of a service that wait
        :param urgency: tells how urgently they do; never at all without one
        """
        self._available = available
        self._count_waiting = count_waiting
        self._urgency = urgency or return_zero

    def typical_ms(self, call: Call) -> float:
        """
        Tell how long a call usually takes at an upstream.

        :param call: the call
        :return: milliseconds, 0 when nothing is known
        """
        return 0.0

    def record_request(self, service: ServiceRow) -> None:
        """
        Take note that a call arrived.

        :param service: the service of the call
        """

    @abstractmethod
    def choose(self, service: ServiceRow, call: Call) -> Grant | None:
        """
        Choose an upstream for a call and reserve it.

        :param service: the service of the call
        :param call: the call
        :return: the grant, None when the call has to wait
        :raises NoUpstream: when no upstream takes new work
        """

    def wait(self, service: ServiceRow, call: Call, waiting: int) -> bool:
        """
        Take note that a call found no upstream and waits.

        :param service: the service of the call
        :param call: the call
        :param waiting: number of calls of the service that wait, this one included
        :return: whether waiting makes sense
        """
        return True

    def release(self, service: ServiceRow, grant: Grant, report: Report) -> None:
        """
        Take note that an attempt ended.

        :param service: the service of the call
        :param grant: what :meth:`choose` returned
        :param report: how the attempt went
        """

    def idle(self, service: ServiceRow) -> None:
        """
        Take note that no call of a service waits after a release.

        :param service: the service
        """

    def tick(self) -> None:
        """Let time pass: expiry and renewal."""

    def is_open(self, row: UpstreamRow, call: Call | None) -> bool:
        """
        Tell whether an upstream may be given a call.

        :param row: the upstream
        :param call: the call, None when it is not known yet
        :return: whether it may
        """
        if row.state not in OPEN_STATES:
            return False
        if call is not None and row.name in call.avoid:
            return False
        return self._health.eligible(row, call)

    def candidates(self, service: ServiceRow, call: Call) -> list[UpstreamRow]:
        """
        List the upstreams that may be given a call.

        :param service: the service of the call
        :param call: the call
        :return: at least one upstream
        :raises NoUpstream: when there is none
        """
        rows = [row for row in service.upstreams.values() if self.is_open(row, call)]
        if not rows:
            detail = f"service {call.service} has no upstream for new work"
            raise NoUpstream(detail)
        return rows

    def make_grant(self, call: Call, row: UpstreamRow, token: int = 0) -> Grant:
        """
        Make a grant as of now.

        :param call: the call
        :param row: the upstream that runs it
        :param token: the slot lease in use, 0 without one
        :return: the grant
        """
        now_ms = self._clock.now_ms()
        return Grant(call=call, upstream=row, granted_ms=now_ms, token=token)


class ImmediateChooser(Chooser):
    """A chooser whose calls never wait at the host."""

    def choose(self, service: ServiceRow, call: Call) -> Grant | None:
        return self.make_grant(call, self.pick(service, call))

    @abstractmethod
    def pick(self, service: ServiceRow, call: Call) -> UpstreamRow:
        """
        Pick an upstream.

        :param service: the service of the call
        :param call: the call
        :return: the upstream
        :raises NoUpstream: when no upstream takes new work
        """


def return_zero(service: str) -> int:
    """
    Stand in for the queues until the chooser is bound.

    :param service: name of a service
    :return: 0
    """
    return 0


def ignore_service(service: str) -> None:
    """
    Stand in for the router until it is bound.

    :param service: name of a service
    """
