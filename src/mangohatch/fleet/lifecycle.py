"""Life cycle of a host: start, periodic work, settings, drain and stop."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterator, Mapping, Sequence
from functools import partial

import structlog

from mangohatch.clock import Clock
from mangohatch.fleet.guard import SystemGuard
from mangohatch.fleet.loop_delay import LoopDelay
from mangohatch.fleet.part import HostPart
from mangohatch.fleet.settings import FleetSettings
from mangohatch.fleet.settings_file import SettingsFile
from mangohatch.metrics import Metrics, Sample, make_counter

__all__ = ["BUSY_TICK_MS", "IDLE_TICK_MS", "HostLifecycle"]

BUSY_TICK_MS = 20.0  # resolution of deadlines and of moves off slow upstreams
IDLE_TICK_MS = 50.0  # resolution of store readings
DRAIN_RESERVE_MS = 500.0  # end of the grace period, kept for the end of the process
ANSWER_RESERVE_MS = 200.0  # before it, for late ticks and the writing of responses
MS_PER_S = 1000.0

log = structlog.get_logger()


class HostLifecycle(ABC):
    """
    Starts, runs and stops the ``parts`` of a host, in the order in which they stand.

    :param cfg: validated settings
    :param clock: source of time
    """

    def __init__(self, *, cfg: FleetSettings, clock: Clock) -> None:
        self.cfg = cfg
        self.parts: Sequence[HostPart] = ()
        self.metrics = Metrics(clock=clock)
        self.metrics.add_source(self._samples)
        self._clock = clock
        self._guard = SystemGuard(clock=clock)
        self._loop_delay = LoopDelay(clock=clock)
        self._was_ready = False
        self._stop_deadline_ms: float | None = None

    @property
    def leaving(self) -> bool:
        """Whether the host drains before it stops."""
        return self._stop_deadline_ms is not None

    @abstractmethod
    def is_busy(self) -> bool:
        """
        Return whether requests are in flight.

        :return: whether parts have to run more often
        """

    def describe_directory(self) -> Mapping[str, object]:
        """
        Describe what this host knows of the directory.

        :return: fields of a log line
        """
        return {}

    def _samples(self) -> Iterator[Sample]:
        yield make_counter(
            "mangohatch_loop_delay_ms",
            "Milliseconds by which iterations of the main loop were late.",
            self._loop_delay.total_ms,
        )
        yield make_counter(
            "mangohatch_system_failures",
            "Runs of a system of this host that ended with an unexpected error.",
            self._guard.failures,
        )
        for part in self.parts:
            yield from part.samples()

    def not_ready(self) -> str | None:
        """
        Return why the balancer should not send callers to this host.

        :return: the reason, None if the host is ready
        """
        reasons = (part.not_ready() for part in reversed(self.parts))
        return next((reason for reason in reasons if reason is not None), None)

    async def start(self) -> None:
        """Start listening for peers, callers, readiness checks and scrapes."""
        for part in self.parts:
            await part.start()
        log.info("host_started", host=self.cfg.host_id, zone=self.cfg.zone)

    async def stop(self) -> None:
        """Stop all parts; after a complete drain, no request is in flight."""
        for part in reversed(self.parts):
            await part.stop()
        log.info("host_stopped", host=self.cfg.host_id)

    def leave(self) -> None:
        """Report not ready; stop accepting work once the balancer has reacted."""
        if self.leaving:
            return
        self._stop_deadline_ms = (
            self._clock.now_ms() + self.cfg.bounds.grace_ms - DRAIN_RESERVE_MS
        )
        log.info("host_leaving", host=self.cfg.host_id)
        for part in self.parts:
            part.leave(answer_by_ms=self._stop_deadline_ms - ANSWER_RESERVE_MS)

    def tick(self) -> None:
        """Run all parts once."""
        for part in self.parts:
            self._guard.run(part.name, part.tick)
        if not self._was_ready and self.not_ready() is None:
            self._was_ready = True
            log.info("host_ready", host=self.cfg.host_id, **self.describe_directory())

    def _should_stop(self) -> bool:
        if self._stop_deadline_ms is None:
            return False
        drained = all(part.drained() for part in self.parts)
        return drained or self._clock.now_ms() >= self._stop_deadline_ms

    def _reload(self, settings: SettingsFile) -> None:
        cfg = settings.read_if_changed()
        if cfg is None:
            return
        self.cfg = self.cfg.update(cfg)
        for part in self.parts:
            part.reload(self.cfg)
        log.info("settings_in_force", seeds=len(cfg.seeds))

    async def run(self, leaving: asyncio.Event, settings: SettingsFile) -> None:
        """
        Serve until ``leaving`` is set, then drain and stop.

        The drain ends when no caller is connected any more, or shortly before the end
        of the grace period.

        :param leaving: set when the host has to leave
        :param settings: the settings file, read again when it changes
        """
        await self.start()
        while not self._should_stop():
            self._loop_delay.record()
            if leaving.is_set():
                self.leave()
            self._guard.run("settings", partial(self._reload, settings))
            self.tick()
            delay_ms = BUSY_TICK_MS if self.is_busy() else IDLE_TICK_MS
            self._loop_delay.expect(delay_ms)
            await asyncio.sleep(delay_ms / MS_PER_S)
        await self.stop()
