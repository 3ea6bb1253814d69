"""Signs of life that tell a broken connection from a crash."""

from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.core.call import Call
from mangohatch.core.tables import UpstreamRow

__all__ = ["BrokenConnection", "CrashEvidence"]

CONFIRM_MS = 700.0  # two questions for load, 300 ms apart, and the way of their report


@dataclass(slots=True, kw_only=True, frozen=True)
class BrokenConnection:
    """A connection that broke at ``broken_ms`` under an attempt of a call."""

    call: Call
    upstream: UpstreamRow
    broken_ms: float


class CrashEvidence:
    """
    Waits whether an upstream reports its load after a connection to it broke.

    Answers upstreams and networks that reset connections: the upstream lives, and the
    request that met two of them in a row is no danger. One that crashed reports no
    more, since it starts anew under another name. Until that is known, a request that
    does crash upstreams may cost one with each attempt.

    :param clock: source of time
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._breaks: list[BrokenConnection] = []

    def record_break(self, call: Call, upstream: UpstreamRow) -> None:
        """
        Take note of a connection that broke.

        :param call: the call that ran on it
        :param upstream: its upstream
        """
        now_ms = self._clock.now_ms()
        self._breaks.append(
            BrokenConnection(call=call, upstream=upstream, broken_ms=now_ms)
        )

    def pop_crashes(self) -> list[BrokenConnection]:
        """
        Decide on what was suspected.

        :return: breaks after which the upstream has been silent for long enough
        """
        due_ms = self._clock.now_ms() - CONFIRM_MS
        silent = [item for item in self._breaks if not is_alive(item)]
        self._breaks = [item for item in silent if item.broken_ms > due_ms]
        return [item for item in silent if item.broken_ms <= due_ms]


def is_alive(item: BrokenConnection) -> bool:
    """
    Tell whether an upstream has reported since a connection to it broke.

    :param item: the break
    :return: whether it has
    """
    return item.upstream.load.measured_ms > item.broken_ms
