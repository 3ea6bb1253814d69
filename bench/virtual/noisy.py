"""Upstreams on machines with noisy neighbours, whose requests can be cancelled."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from bench.virtual.loop import EventLoop
from mangohatch.core.load import UpstreamLoad

__all__ = ["NoisyUpstream", "Work"]

SLOTS = 2
QUEUE_LIMIT = 4
SLOW_SHARE = 1.0 / 3.0
SLOW_FACTOR = 4.0
MEAN_PERIOD_MS = 300.0
HIGH_LOAD_SHARE = 0.8
HIGH_LOAD_FACTOR = 1.7
ALMOST_DONE_MS = 1e-6


@dataclass(slots=True, kw_only=True, eq=False)
class Work:
    """A request at an upstream; ``rest_ms`` is its work at the typical speed."""

    rest_ms: float
    on_end: Callable[[bool], None]


class NoisyUpstream:
    """
    Runs two requests at once at a speed that neighbours and its own load change.

    ``done_ms`` is the work of all requests so far, also of cancelled ones.

    :param loop: virtual event loop
    :param rng: draws the neighbours
    :param spread: share by which the time between two neighbours varies
    """

    def __init__(
        self, *, loop: EventLoop, rng: random.Random, spread: float = 0.0
    ) -> None:
        self.done_ms = 0.0
        self._loop = loop
        self._rng = rng
        self._spread_ms = spread * MEAN_PERIOD_MS
        self._running: list[Work] = []
        self._queue: deque[Work] = deque()
        self._updated_ms = 0.0
        self._epoch = 0
        self._neighbour = 1.0
        self._draw()

    def load(self) -> UpstreamLoad:
        """
        Return the load as the upstream reports it.

        :return: the load
        """
        return UpstreamLoad(
            running=len(self._running),
            waiting=len(self._queue),
            slots=SLOTS,
            slowdown=self._neighbour,
        )

    def arrive(self, work: Work) -> None:
        """
        Start, queue or turn away a request.

        :param work: the request; its end is reported with whether it was run
        """
        if len(self._running) == SLOTS and len(self._queue) >= QUEUE_LIMIT:
            work.on_end(False)
            return
        self._advance()
        if len(self._running) < SLOTS:
            self._running.append(work)
        else:
            self._queue.append(work)
        self._plan()

    def cancel(self, work: Work) -> None:
        """
        Stop a request whose connection was closed.

        :param work: the request; nothing happens if it has ended
        """
        self._advance()
        if work in self._running:
            self._running.remove(work)
            self._fill()
        elif work in self._queue:
            self._queue.remove(work)
        self._plan()

    def _draw(self) -> None:
        self._advance()
        slow = self._rng.random() < SLOW_SHARE
        self._neighbour = SLOW_FACTOR if slow else 1.0
        spread_ms = self._spread_ms
        period_ms = MEAN_PERIOD_MS + self._rng.uniform(-spread_ms, spread_ms)
        if self._loop.now_ms == 0.0:
            period_ms *= self._rng.random()
        self._loop.after(period_ms, self._draw)
        self._plan()

    def _slowdown(self) -> float:
        busy = len(self._running) / SLOTS > HIGH_LOAD_SHARE
        return self._neighbour * (HIGH_LOAD_FACTOR if busy else 1.0)

    def _advance(self) -> None:
        elapsed_ms = (self._loop.now_ms - self._updated_ms) / self._slowdown()
        self._updated_ms = self._loop.now_ms
        for work in self._running:
            work.rest_ms -= elapsed_ms
            self.done_ms += elapsed_ms

    def _fill(self) -> None:
        while self._queue and len(self._running) < SLOTS:
            self._running.append(self._queue.popleft())

    def _plan(self) -> None:
        self._epoch += 1
        if self._running:
            rest_ms = max(0.0, min(work.rest_ms for work in self._running))
            self._loop.after(rest_ms * self._slowdown(), self._end, self._epoch)

    def _end(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._advance()
        ended = [work for work in self._running if work.rest_ms <= ALMOST_DONE_MS]
        for work in ended:
            self._running.remove(work)
        self._fill()
        self._plan()
        for work in ended:
            work.on_end(True)
