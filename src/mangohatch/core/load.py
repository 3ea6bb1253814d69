"""Load of upstreams: what they report, and what this host knows beside it."""

import math
from collections import deque
from dataclasses import dataclass, field

__all__ = ["LoadView", "UpstreamLoad"]

ENDED_RETENTION_MS = 1_000.0  # reports older than this are not corrected any more
MAX_PEER_REQUESTS = 64  # of one upstream; more than it takes, so the oldest are lost


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamLoad:
    """
    What an upstream says of its load.

    ``slowdown`` is the time that work takes now as a multiple of the usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    healthy: bool = True


@dataclass(slots=True, kw_only=True)
class LoadView:
    """
    The latest report of an upstream and this host's requests around it.

    ``begun`` holds the times at which this host's requests in flight were sent,
    ``peer_requests`` those of requests that other hosts told of, by host and token, and
    ``ended`` begin and end of those that ended a short while ago. Together they tell
    which requests a report counts that have ended, and which it can't know of yet.
    Until ``reserved_until_ms``, what became free here is left to other hosts.
    """

    load: UpstreamLoad | None = None
    measured_ms: float = 0.0
    changed_ms: float = 0.0
    previous_slowdown: float = 1.0
    reserved_until_ms: float = 0.0
    begun: list[float] = field(default_factory=list)
    peer_requests: dict[tuple[str, int], float] = field(default_factory=dict)
    ended: deque[tuple[float, float]] = field(default_factory=deque)
    _occupancy: int | None = 0

    def observe(self, load: UpstreamLoad, *, measured_ms: float) -> bool:
        """
        Take a report.

        :param load: the report
        :param measured_ms: when the upstream made it
        :return: False when a newer one is known
        """
        if self.load is not None and measured_ms <= self.measured_ms:
            return False
        if self.load is None or load.slowdown != self.load.slowdown:
            self.previous_slowdown = (self.load or load).slowdown
            self.changed_ms = measured_ms
        self.load = load
        self.measured_ms = measured_ms
        self._occupancy = None
        return True

    def begin(self, now_ms: float) -> None:
        """
        Count a request sent.

        :param now_ms: monotonic time
        """
        self.begun.append(now_ms)
        self._occupancy = None

    def end(self, sent_ms: float, now_ms: float) -> None:
        """
        Count the end of a request.

        :param sent_ms: when it was sent
        :param now_ms: monotonic time
        """
        if sent_ms in self.begun:
            self.begun.remove(sent_ms)
        self._record_end(sent_ms, now_ms)

    def begin_at_peer(self, host: str, token: int, now_ms: float) -> None:
        """
        Count a request that another host has sent.

        :param host: the host
        :param token: its name for the request
        :param now_ms: monotonic time
        """
        self.peer_requests[host, token] = now_ms
        self._occupancy = None
        if len(self.peer_requests) > MAX_PEER_REQUESTS:
            del self.peer_requests[next(iter(self.peer_requests))]

    def end_at_peer(self, host: str, token: int, now_ms: float) -> None:
        """
        Count the end of a request of another host.

        :param host: the host
        :param token: its name for the request
        :param now_ms: monotonic time
        """
        # One whose begin was lost began before the latest report, most likely.
        sent_ms = self.peer_requests.pop((host, token), -math.inf)
        self._record_end(sent_ms, now_ms)

    def _record_end(self, sent_ms: float, now_ms: float) -> None:
        self._occupancy = None
        self.ended.append((sent_ms, now_ms))
        while self.ended and now_ms - self.ended[0][1] > ENDED_RETENTION_MS:
            self.ended.popleft()

    def progress_ms(self, sent_ms: float, now_ms: float) -> float:
        """
        Estimate the work done on a request.

        :param sent_ms: when it was sent
        :param now_ms: monotonic time
        :return: milliseconds of an upstream at its usual speed
        """
        if self.load is None:
            return now_ms - sent_ms
        change_ms = min(max(self.changed_ms, sent_ms), now_ms)
        done_before_change = (change_ms - sent_ms) / self.previous_slowdown
        return done_before_change + (now_ms - change_ms) / self.load.slowdown

    def occupancy(self) -> int:
        """
        Estimate the requests at the upstream, running and waiting.

        :return: the report, plus own requests sent since, less those ended since; at
            least the own requests in flight
        """
        if self._occupancy is None:
            self._occupancy = self._count()
        return self._occupancy

    def _count(self) -> int:
        own = len(self.begun)
        if self.load is None:
            return own
        report_ms = self.measured_ms
        sent_since = sum(begun > report_ms for begun in self.begun)
        sent_since += sum(begun > report_ms for begun in self.peer_requests.values())
        ended_since = sum(begun <= report_ms < ended for begun, ended in self.ended)
        reported = self.load.running + self.load.waiting
        return max(own, reported + sent_since - ended_since)
