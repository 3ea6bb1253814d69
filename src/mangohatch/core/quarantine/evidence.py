"""Checks that distinguish a crash of an upstream from a broken connection."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import structlog

from mangohatch.clock import Clock
from mangohatch.core.call import Call
from mangohatch.core.tables import UpstreamRow
from mangohatch.core.timers import Timers

__all__ = ["BrokenConnection", "CheckResult", "CrashCheck", "CrashEvidence"]

CHECK_INTERVAL_MS = 40.0
MIN_FAILED_CHECKS = 3  # an upstream at its limit of connections may reset one
REPORT_DELAY_MS = 100.0  # by which the time of a load report may be estimated too late

REPORTED = "reported"

log = structlog.get_logger()


class CheckResult(StrEnum):
    """What an upstream did with a new request of this host."""

    ANSWERED = "answered"
    REFUSED = "refused"
    SILENT = "silent"


class CrashCheck(ABC):
    """Asks upstreams whether they are alive."""

    @abstractmethod
    def send(self, upstream: UpstreamRow, done: Callable[[CheckResult], None]) -> None:
        """
        Ask an upstream on a connection that this host does not use for requests.

        :param upstream: the upstream; at most one check of it is in progress
        :param done: called exactly once, with the result
        """

    @abstractmethod
    def retain(self, upstreams: list[UpstreamRow]) -> None:
        """
        Close the connections to all other upstreams.

        :param upstreams: upstreams that will be checked again
        """


@dataclass(slots=True, kw_only=True, frozen=True)
class BrokenConnection:
    """A connection that broke at ``broken_ms`` during an attempt of a call."""

    call: Call
    upstream: UpstreamRow
    broken_ms: float


@dataclass(slots=True, kw_only=True)
class PendingCheck:
    """Broken connections of one upstream that are not explained yet."""

    upstream: UpstreamRow
    breaks: list[BrokenConnection] = field(default_factory=list)
    sent_ms: float = 0.0
    failed: int = 0
    refused: bool = False


class CrashEvidence:
    """
    Checks whether an upstream is alive after a connection to it broke.

    Designed for upstreams and networks that reset connections: the upstream is alive,
    and a request with two such resets in a row is harmless. An upstream that refuses
    connections has crashed. One that stays silent has crashed if this host hears of
    others meanwhile; otherwise the host itself may be cut off. A silent upstream that
    has reported its load since to any host is alive.

    ``on_verdict`` is called once for each recorded break, with whether the upstream has
    crashed.

    :param clock: source of time
    :param timers: schedules the next check of an upstream
    :param check: asks upstreams whether they are alive
    :param hears_upstreams: returns whether any upstream reported its load after a time
        in milliseconds
    """

    def __init__(
        self,
        *,
        clock: Clock,
        timers: Timers,
        check: CrashCheck,
        hears_upstreams: Callable[[float], bool],
    ) -> None:
        self.on_verdict: Callable[[BrokenConnection, bool], None] = ignore_verdict
        self._clock = clock
        self._timers = timers
        self._check = check
        self._hears_upstreams = hears_upstreams
        self._pending: dict[int, PendingCheck] = {}

    def record_break(self, call: Call, upstream: UpstreamRow) -> None:
        """
        Record that a connection broke, and check its upstream.

        :param call: the call that used the connection
        :param upstream: the upstream of the connection
        """
        broken = BrokenConnection(
            call=call, upstream=upstream, broken_ms=self._clock.now_ms()
        )
        pending = self._pending.get(id(upstream))
        if pending is not None:
            pending.breaks.append(broken)
            return
        pending = PendingCheck(upstream=upstream, breaks=[broken])
        self._pending[id(upstream)] = pending
        self._send(pending)

    def tick(self) -> None:
        """Dismiss the breaks of upstreams that have reported their load since."""
        for pending in [*self._pending.values()]:
            if not pending.refused:
                self._dismiss_reported(pending)

    def _send_again(self, pending: PendingCheck) -> None:
        if self._pending.get(id(pending.upstream)) is pending:
            self._send(pending)

    def _send(self, pending: PendingCheck) -> None:
        pending.sent_ms = self._clock.now_ms()
        self._check.send(pending.upstream, lambda item: self._receive(pending, item))

    def _receive(self, pending: PendingCheck, result: CheckResult) -> None:
        if self._pending.get(id(pending.upstream)) is not pending:
            return  # reports have dismissed its breaks
        if result is CheckResult.ANSWERED:
            # The answer says nothing about connections that broke after the question.
            later = [
                item for item in pending.breaks if item.broken_ms > pending.sent_ms
            ]
            answered = [item for item in pending.breaks if item not in later]
            pending.breaks = later
            pending.failed = 0
            pending.refused = False
            if later:
                self._send(pending)
            else:
                self._remove(pending)
            self._decide(answered, crashed=False, cause=result)
            return
        pending.failed += 1
        pending.refused |= result is CheckResult.REFUSED
        if pending.failed < MIN_FAILED_CHECKS:
            self._timers.call_later(
                CHECK_INTERVAL_MS, lambda: self._send_again(pending)
            )
            return
        self._remove(pending)
        crashed = pending.refused or self._hears_upstreams(pending.breaks[0].broken_ms)
        self._decide(pending.breaks, crashed=crashed, cause=result)

    def _dismiss_reported(self, pending: PendingCheck) -> None:
        """Dismiss the breaks that are older than a load report of the upstream."""
        reported_ms = pending.upstream.load.measured_ms - REPORT_DELAY_MS
        disproved = [item for item in pending.breaks if item.broken_ms < reported_ms]
        if not disproved:
            return
        pending.breaks = [item for item in pending.breaks if item not in disproved]
        if not pending.breaks:
            self._remove(pending)
        self._decide(disproved, crashed=False, cause=REPORTED)

    def _remove(self, pending: PendingCheck) -> None:
        del self._pending[id(pending.upstream)]
        self._check.retain([item.upstream for item in self._pending.values()])

    def _decide(
        self, breaks: list[BrokenConnection], *, crashed: bool, cause: str
    ) -> None:
        now_ms = self._clock.now_ms()
        for item in breaks:
            log.info(
                "crash_confirmed" if crashed else "crash_dismissed",
                request=item.call.request_id,
                fingerprint=item.call.fingerprint,
                upstream=item.upstream.name,
                cause=str(cause),
                after_ms=round(now_ms - item.broken_ms),
            )
            self.on_verdict(item, crashed)


def ignore_verdict(broken: BrokenConnection, crashed: bool) -> None:
    """
    Do nothing; the default of ``on_verdict``.

    :param broken: a broken connection
    :param crashed: whether its upstream has crashed
    """
