"""Calls that wait until more is known about copies of their request."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from mangohatch.core.call import Call, Deliver

__all__ = ["Hold", "HoldTable", "fingerprints"]

Waiting = tuple[Call, Deliver]


@dataclass(slots=True, kw_only=True)
class Hold:
    """
    Why the copies of a request wait, and the calls that do.

    ``trial`` is the copy that runs in isolation, None if there is none. ``checks``
    counts broken connections of copies whose upstreams may have crashed.
    """

    trial: Call | None = None
    checks: int = 0
    waiting: deque[Waiting] = field(default_factory=deque)


class HoldTable:
    """Holds by fingerprint, each kept as long as its trial or a check lasts."""

    def __init__(self) -> None:
        self._holds: dict[str, Hold] = {}

    def find(self, fingerprint: str) -> Hold | None:
        """
        Find the hold of a request.

        :param fingerprint: fingerprint of the request
        :return: the hold, None if there is none
        """
        return self._holds.get(fingerprint)

    def is_trial(self, call: Call) -> bool:
        """
        Return whether a call is a trial that has not ended.

        :param call: the call
        :return: whether it is
        """
        return any(hold.trial is call for _, hold in self._of(call))

    def start_trial(self, fingerprint: str, call: Call) -> None:
        """
        Let copies wait for a trial.

        :param fingerprint: fingerprint of the request, without a hold so far
        :param call: the trial
        """
        self._holds[fingerprint] = Hold(trial=call)

    def end_trial(self, call: Call) -> Iterable[Waiting]:
        """
        End a trial.

        :param call: the trial; any other call changes nothing
        :return: calls that need not wait any longer
        """
        released: list[Waiting] = []
        for fingerprint, hold in self._of(call):
            if hold.trial is call:
                hold.trial = None
                released += self._release(fingerprint, hold)
        return released

    def start_check(self, call: Call) -> None:
        """
        Let copies wait until it is known whether a call crashed its upstream.

        :param call: the call
        """
        for fingerprint in fingerprints(call):
            self._holds.setdefault(fingerprint, Hold()).checks += 1

    def end_check(self, call: Call) -> Iterable[Waiting]:
        """
        End a check.

        :param call: the call for which :meth:`start_check` was called
        :return: calls that need not wait any longer
        """
        released: list[Waiting] = []
        for fingerprint, hold in self._of(call):
            hold.checks -= 1
            released += self._release(fingerprint, hold)
        return released

    def take_waiting(self, fingerprint: str) -> Iterable[Waiting]:
        """
        Remove the calls that wait, and keep the hold.

        :param fingerprint: fingerprint of the request
        :return: the calls
        """
        hold = self._holds.get(fingerprint)
        if hold is None:
            return ()
        waiting, hold.waiting = hold.waiting, deque()
        return waiting

    def cancel(self, call: Call) -> bool:
        """
        Remove a call that waits.

        :param call: the call
        :return: whether it waited
        """
        for _, hold in self._of(call):
            for item in hold.waiting:
                if item[0] is call:
                    hold.waiting.remove(item)
                    return True
        return False

    def expire(self, now_ms: float) -> Iterable[Waiting]:
        """
        Remove the calls whose deadline has passed.

        :param now_ms: monotonic time in milliseconds
        :return: the calls
        """
        expired: list[Waiting] = []
        for hold in self._holds.values():
            due = [item for item in hold.waiting if item[0].deadline_ms <= now_ms]
            for item in due:
                hold.waiting.remove(item)
            expired += due
        return expired

    def _of(self, call: Call) -> list[tuple[str, Hold]]:
        names = fingerprints(call)
        return [(name, self._holds[name]) for name in names if name in self._holds]

    def _release(self, fingerprint: str, hold: Hold) -> Iterable[Waiting]:
        if hold.trial is not None or hold.checks:
            return ()
        del self._holds[fingerprint]
        return hold.waiting


def fingerprints(call: Call) -> tuple[str, ...]:
    """
    List the fingerprints by which crashes of a call are recorded.

    :param call: the call
    :return: that of its path, that of its path and caller, then its own; without those
        that are empty
    """
    names = (call.path_fingerprint, call.caller_fingerprint, call.fingerprint)
    return tuple(name for name in names if name)
