"""Fake upstream with slots, a queue and injected faults."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.virtual.loop import EventLoop
from bench.virtual.speed import SpeedProfile
from mangohatch.core.call import Result

__all__ = ["FakeUpstream", "Job", "Request"]

QUEUE_LIMIT = 100
FAST_FAIL_MS = 0.5
SLOW_FAIL_MS = 200.0
CRASH_UP_MS = 300.0
CRASH_DOWN_MS = 200.0
RECENT_WEIGHT = 0.3

Done = Callable[[Result, int, bool], None]


@dataclass(slots=True, kw_only=True)
class Request:
    """Request of a caller; ``killer`` marks one that crashes its upstream."""

    number: int
    arrival_ms: float
    host: int
    work_ms: float
    idempotent: bool
    customer: str
    killer: bool = False
    starts: int = 0
    resends: int = 0


@dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """An attempt; ``done`` is called with result, reported load and draining flag."""

    request: Request
    done: Done
    epoch: int = field(default=0)
    arrived_ms: float = 0.0
    load_on_arrival: int = 0


class FakeUpstream:
    """Runs one job per slot and queues further jobs in order of arrival."""

    def __init__(
        self, *, name: str, slots: int, loop: EventLoop, speed_profile: SpeedProfile
    ):
        self.name = name
        self.slots = slots
        self.speed_profile = speed_profile
        self.running: set[Job] = set()
        self.queue: deque[Job] = deque()
        self.draining = False
        self.down = False
        self.fails_fast = False
        self.fails_slowly = False
        self.misreports_load = False
        self.arrival_times_ms: list[float] = []
        self.crashes = 0
        self.on_slot_freed: Callable[[], None] | None = None
        self.on_arrival: Callable[[], None] | None = None
        self._recent_ms: dict[int, float] = {}
        self._loop = loop
        self._epoch = 0

    @property
    def load(self) -> int:
        """Number of running and queued jobs."""
        return len(self.running) + len(self.queue)

    @property
    def reported_load(self) -> int:
        """Load that the upstream reports, 0 if it misreports."""
        return 0 if self.misreports_load else self.load

    def recent_ms(self, load: int) -> float:
        """
        Estimate the latency of a job that arrives at a given load.

        :param load: number of running and queued jobs on arrival
        :return: moving average of the latency in milliseconds, 0 if unknown
        """
        return self._recent_ms.get(load, 0.0)

    def arrive(self, job: Job) -> None:
        """
        Start, queue or reject a job.

        :param job: job that arrived
        """
        self.arrival_times_ms.append(self._loop.now_ms)
        job.arrived_ms = self._loop.now_ms
        job.load_on_arrival = self.load
        if self.down:
            job.done(Result.UNREACHABLE, 0, False)
        elif self.draining or len(self.queue) >= QUEUE_LIMIT:
            job.done(Result.REFUSED, self.reported_load, self.draining)
        elif len(self.running) < self.slots:
            self._start(job)
        else:
            self.queue.append(job)

    def crash(self) -> None:
        """Abort all jobs and go down for ``CRASH_DOWN_MS``."""
        self.crashes += 1
        self._epoch += 1
        self.down = True
        broken = [*self.running, *self.queue]
        self.running.clear()
        self.queue.clear()
        for job in broken:
            job.done(Result.ABORTED, 0, False)
        self._loop.after(CRASH_DOWN_MS, self._restart)

    def crash_in_loop(self) -> None:
        """Crash now and again after each ``CRASH_UP_MS`` of running."""
        if not self.down:
            self.crash()
        self._loop.after(CRASH_DOWN_MS + CRASH_UP_MS, self.crash_in_loop)

    def _restart(self) -> None:
        self.down = False

    def _start(self, job: Job) -> None:
        job.request.starts += 1
        job.epoch = self._epoch
        self.running.add(job)
        loop = self._loop
        if job.request.killer:
            loop.after(1.0, self._kill, job)
        elif self.fails_fast:
            loop.after(FAST_FAIL_MS, self._finish, job, Result.ERROR)
        elif self.fails_slowly:
            loop.after(SLOW_FAIL_MS, self._finish, job, Result.ERROR)
        else:
            end_ms = self.speed_profile.finish_ms(loop.now_ms, job.request.work_ms)
            loop.at(end_ms, self._finish, job, Result.OK)

    def _kill(self, job: Job) -> None:
        if job.epoch == self._epoch:
            self.crash()

    def _finish(self, job: Job, result: Result) -> None:
        if job.epoch != self._epoch:
            return
        self.running.discard(job)
        if result is Result.OK:
            self._record_latency(job)
        job.done(result, self.reported_load, self.draining)
        if self.queue:
            self._start(self.queue.popleft())
        elif self.on_slot_freed is not None:
            self.on_slot_freed()

    def _record_latency(self, job: Job) -> None:
        latency_ms = self._loop.now_ms - job.arrived_ms
        previous_ms = self._recent_ms.get(job.load_on_arrival, latency_ms)
        correction_ms = RECENT_WEIGHT * (latency_ms - previous_ms)
        self._recent_ms[job.load_on_arrival] = previous_ms + correction_ms
