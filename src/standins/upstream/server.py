"""A stand-in upstream: state, life cycle and duration of its work."""

import asyncio
import os
from collections import deque
from dataclasses import dataclass

from tornado.iostream import IOStream
from tornado.web import Application

from mangohatch.clock import Clock
from standins.upstream.behaviour import Behaviour, ReportMode
from standins.upstream.connections import ConnectionServer
from standins.upstream.handlers import make_routes
from standins.upstream.ledger import Ledger
from standins.upstream.noise import NoiseSchedule
from standins.upstream.slots import SlotQueue

__all__ = ["LoadReport", "Upstream"]

CRASH_EXIT_STATUS = 70
BIND_RETRY_MS = 50.0
LOOPBACK = "127.0.0.1"


@dataclass(slots=True, kw_only=True, frozen=True)
class LoadReport:
    """State and load as reported by the health and load endpoints."""

    time_ms: float
    in_flight: int
    draining: bool


class Upstream:
    """
    A backend server with few slots, many connections and noisy neighbours.

    :param name: name that responses contain
    :param seed: seed of the slowdown schedule
    :param clock: clock for slowdowns, drains and reports
    :param behaviour: initial behaviour; defaults without one
    """

    def __init__(
        self, *, name: str, seed: int, clock: Clock, behaviour: Behaviour | None = None
    ) -> None:
        self.name = name
        self.clock = clock
        self.behaviour = behaviour or Behaviour()
        self.slots = SlotQueue()
        self.ledger = Ledger()
        self.port = 0
        self.down = False
        self._drain_started_ms = clock.now_ms()
        self._started_ms = clock.now_ms()
        self._noise = NoiseSchedule(seed=seed, start_ms=clock.now_ms())
        self._reports: deque[LoadReport] = deque()
        self._server: ConnectionServer | None = None
        self._application = Application(make_routes(), upstream=self)
        self._restart_timer: asyncio.TimerHandle | None = None

    def listen(self, port: int) -> int:
        """
        Accept connections on loopback.

        :param port: TCP port, 0 for a free port
        :return: the port that it listens on
        """
        server = ConnectionServer(self._application)
        server.limit = lambda: self.behaviour.connection_limit
        server.listen(port, LOOPBACK)
        self._server = server
        sockets = tuple(server._sockets.values())
        self.port = sockets[0].getsockname()[1]
        self.down = False
        return self.port

    def close(self) -> None:
        """Stop listening, close all connections and cancel a pending restart."""
        if self._restart_timer is not None:
            self._restart_timer.cancel()
        self._stop_server()

    def set_behaviour(self, behaviour: Behaviour) -> None:
        """
        Replace the behaviour.

        :param behaviour: the new behaviour with all its settings
        """
        if behaviour.draining and not self.behaviour.draining:
            self._drain_started_ms = self.clock.now_ms()
        self.behaviour = behaviour

    def silence(self, *, keep: IOStream | None = None) -> int:
        """
        Silence all open connections; connections opened later are not affected.

        :param keep: stream that is not silenced, if any
        :return: number of connections silenced
        """
        return self._server.silence(keep) if self._server is not None else 0

    def crash(self) -> None:
        """
        Drop all connections and their work, and restart cold after ``restart_ms``.

        With ``exit_on_crash``, end the process instead.
        """
        self.ledger.crashes += 1
        if self.behaviour.exit_on_crash:
            os._exit(CRASH_EXIT_STATUS)
        self.down = True
        self._stop_server()
        loop = asyncio.get_running_loop()
        self._restart_timer = loop.call_later(
            self.behaviour.restart_ms / 1000, self._restart_server
        )

    def refuses_work(self) -> bool:
        """
        Return whether the grace period of a drain has passed.

        :return: whether new work is refused
        """
        draining_ms = self.clock.now_ms() - self._drain_started_ms
        return self.behaviour.draining and draining_ms >= self.behaviour.drain_grace_ms

    def duration_ms(self, work_ms: float) -> float:
        """
        Compute the duration of work that starts now.

        :param work_ms: duration in milliseconds on an idle, warm machine
        :return: duration in milliseconds including slowdowns
        """
        now_ms = self.clock.now_ms()
        slowed_ms = work_ms * self.behaviour.slow_factor * self._cold_factor(now_ms)
        factor = self.behaviour.noise_factor
        return self._noise.finish_ms(now_ms, slowed_ms, factor) - now_ms

    def record_load(self) -> None:
        """Record the current load for lagging reports."""
        if self.behaviour.report_mode is not ReportMode.LAGGING:
            return
        self._reports.append(self._current_report())
        oldest_ms = self.clock.now_ms() - self.behaviour.report_lag_ms
        while len(self._reports) > 1 and self._reports[1].time_ms <= oldest_ms:
            self._reports.popleft()

    def report(self) -> LoadReport:
        """
        Report health and load as the report mode determines.

        :return: the report
        """
        match self.behaviour.report_mode:
            case ReportMode.LYING:
                return LoadReport(time_ms=0.0, in_flight=0, draining=False)
            case ReportMode.LAGGING:
                self.record_load()
                return self._reports[0]
        return self._current_report()

    def _current_report(self) -> LoadReport:
        return LoadReport(
            time_ms=self.clock.now_ms(),
            in_flight=self.slots.in_flight,
            draining=self.behaviour.draining,
        )

    def _cold_factor(self, now_ms: float) -> float:
        age_ms = now_ms - self._started_ms
        if age_ms >= self.behaviour.cold_ms:
            return 1.0
        cold_fraction = 1.0 - age_ms / self.behaviour.cold_ms
        return 1.0 + cold_fraction * (self.behaviour.cold_factor - 1.0)

    def _stop_server(self) -> None:
        if self._server is not None:
            self._server.stop()
            self._server.close_all()
            self._server = None

    def _restart_server(self) -> None:
        self._started_ms = self.clock.now_ms()
        try:
            self.listen(self.port)
        except OSError:
            loop = asyncio.get_running_loop()
            self._restart_timer = loop.call_later(
                BIND_RETRY_MS / 1000, self._restart_server
            )
