"""Load reports that distinguish a broken connection from a crash."""

from dataclasses import dataclass

import structlog

from mangohatch.clock import Clock
from mangohatch.core.call import Call
from mangohatch.core.tables import UpstreamRow

__all__ = ["BrokenConnection", "CrashEvidence"]

log = structlog.get_logger()

CONFIRM_MS = 700.0  # two load probes, 300 ms apart, and the transfer of their report


@dataclass(slots=True, kw_only=True, frozen=True)
class BrokenConnection:
    """A connection that broke at ``broken_ms`` during an attempt of a call."""

    call: Call
    upstream: UpstreamRow
    broken_ms: float


class CrashEvidence:
    """
    Checks whether an upstream reports its load after a connection to it broke.

    Designed for upstreams and networks that reset connections: the upstream is
    alive, and a request with two such resets in a row is harmless. A crashed
    upstream reports no more, because it restarts under another name. Until
    :data:`CONFIRM_MS` have passed, a request that does crash upstreams may crash
    one with each attempt.

    :param clock: source of time
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._breaks: list[BrokenConnection] = []

    def record_break(self, call: Call, upstream: UpstreamRow) -> None:
        """
        Record that a connection broke.

        :param call: the call that used the connection
        :param upstream: the upstream of the connection
        """
        now_ms = self._clock.now_ms()
        self._breaks.append(
            BrokenConnection(call=call, upstream=upstream, broken_ms=now_ms)
        )

    def pop_crashes(self) -> list[BrokenConnection]:
        """
        Remove and return the breaks that are confirmed as crashes.

        Breaks after which the upstream reported its load are dropped, as are those of
        upstreams whose load reports no longer reach this host.

        :return: breaks after which the upstream was silent for :data:`CONFIRM_MS`
        """
        due_ms = self._clock.now_ms() - CONFIRM_MS
        silent = []
        for item in self._breaks:
            if item.upstream.reported and not is_alive(item):
                silent.append(item)
            else:
                log_dismissed(item)
        self._breaks = [item for item in silent if item.broken_ms > due_ms]
        return [item for item in silent if item.broken_ms <= due_ms]


def is_alive(item: BrokenConnection) -> bool:
    """
    Return whether an upstream has reported its load since a connection broke.

    :param item: the broken connection
    :return: whether the last load report is newer than the break
    """
    return item.upstream.load.measured_ms > item.broken_ms


def log_dismissed(item: BrokenConnection) -> None:
    """
    Log why a broken connection does not count as a crash.

    :param item: the broken connection
    """
    row = item.upstream
    log.info(
        "crash_dismissed",
        request=item.call.request_id,
        fingerprint=item.call.fingerprint,
        upstream=row.name,
        cause="report after the break" if row.reported else "no reports for this host",
        report_after_ms=round(row.load.measured_ms - item.broken_ms),
    )
