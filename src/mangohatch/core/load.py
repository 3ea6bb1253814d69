"""Load of upstreams, from their reports and from the requests sent to them."""

import math
from collections import deque
from dataclasses import dataclass, field

__all__ = ["LoadView", "UpstreamLoad"]

ENDED_RETENTION_MS = 1_000.0  # older reports are not corrected for ended requests
# Requests of other hosts kept per upstream, more than an upstream runs at once. If the
# limit is exceeded, the end notifications of the oldest requests were lost.
MAX_PEER_REQUESTS = 64


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamLoad:
    """
    Load reported by an upstream.

    ``slowdown`` is the current duration of work as a multiple of its typical duration.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    healthy: bool = True


@dataclass(slots=True, kw_only=True)
class LoadView:
    """
    The latest report of an upstream, with the requests known to this host.

    ``begun`` holds the times at which this host's requests in flight were sent.
    ``peer_requests`` holds the times at which requests of other hosts were announced,
    by host and token. ``ended`` holds the start and end times of requests that ended
    within the last ``ENDED_RETENTION_MS``. Together they show which requests counted in
    the report have ended since, and which requests are too recent to be counted in it.
    ``changed_ms`` is the time of the first report of the current slowdown, and
    ``previous_slowdown`` is the slowdown before it. Until ``reserved_until_ms``, free
    slots of the upstream are reserved for other hosts.
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
        Store a report, unless a newer one is known.

        :param load: the report
        :param measured_ms: monotonic time at which the upstream made the report
        :return: whether the report was stored
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

    def forget_reports(self) -> None:
        """Discard all information about the upstream except this host's requests."""
        self.load = None
        self.measured_ms = 0.0
        self.changed_ms = 0.0
        self.previous_slowdown = 1.0
        self.reserved_until_ms = 0.0
        self.peer_requests.clear()
        self.ended.clear()
        self._occupancy = None

    def begin(self, now_ms: float) -> None:
        """
        Count a request that this host sends.

        :param now_ms: monotonic time, in milliseconds
        """
        self.begun.append(now_ms)
        self._occupancy = None

    def end(self, sent_ms: float, now_ms: float) -> None:
        """
        Count the end of a request of this host.

        :param sent_ms: monotonic time at which the request was sent
        :param now_ms: monotonic time, in milliseconds
        """
        if sent_ms in self.begun:
            self.begun.remove(sent_ms)
        self._record_end(sent_ms, now_ms)

    def begin_at_peer(self, host: str, token: int, now_ms: float) -> None:
        """
        Count a request that another host has sent.

        :param host: id of the other host
        :param token: token by which that host identifies the request
        :param now_ms: monotonic time, in milliseconds
        """
        self.peer_requests[host, token] = now_ms
        self._occupancy = None
        if len(self.peer_requests) > MAX_PEER_REQUESTS:
            del self.peer_requests[next(iter(self.peer_requests))]

    def end_at_peer(self, host: str, token: int, now_ms: float) -> None:
        """
        Count the end of a request of another host.

        :param host: id of the other host
        :param token: token by which that host identifies the request
        :param now_ms: monotonic time, in milliseconds
        """
        # When the start notification was lost, the request most likely started before
        # the latest report.
        sent_ms = self.peer_requests.pop((host, token), -math.inf)
        self._record_end(sent_ms, now_ms)

    def _record_end(self, sent_ms: float, now_ms: float) -> None:
        self._occupancy = None
        self.ended.append((sent_ms, now_ms))
        while self.ended and now_ms - self.ended[0][1] > ENDED_RETENTION_MS:
            self.ended.popleft()

    def progress_ms(self, sent_ms: float, now_ms: float) -> float:
        """
        Estimate the work already done on a request.

        :param sent_ms: monotonic time at which the request was sent
        :param now_ms: monotonic time, in milliseconds
        :return: milliseconds of work at the typical speed of an upstream
        """
        if self.load is None:
            return now_ms - sent_ms
        change_ms = min(max(self.changed_ms, sent_ms), now_ms)
        done_before_change = (change_ms - sent_ms) / self.previous_slowdown
        return done_before_change + (now_ms - change_ms) / self.load.slowdown

    def occupancy(self) -> int:
        """
        Estimate the number of requests at the upstream, running and waiting.

        :return: requests in the latest report, plus those sent and minus those ended
            since the report; at least the requests of this host in flight
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
