"""Keeps unexpected errors of one system from ending the host."""

from collections.abc import Callable

import structlog

from mangohatch.clock import Clock

__all__ = ["SystemGuard"]

LOG_INTERVAL_MS = 1_000.0  # for each system, as it may fail at every tick

log = structlog.get_logger()


class SystemGuard:
    """
    Runs systems one by one, and logs those that fail.

    ``failures`` counts failed runs of all systems.

    :param clock: source of time
    """

    def __init__(self, *, clock: Clock) -> None:
        self.failures = 0
        self._clock = clock
        self._log_due_ms: dict[str, float] = {}

    def run(self, name: str, function: Callable[[], None]) -> None:
        """
        Run a system; the others run even if it fails.

        :param name: name of the system, for the log
        :param function: runs the system once
        """
        try:
            function()
        except Exception:
            self.failures += 1
            now_ms = self._clock.now_ms()
            if now_ms >= self._log_due_ms.get(name, 0.0):
                self._log_due_ms[name] = now_ms + LOG_INTERVAL_MS
                log.exception("system_failed", system=name, failures=self.failures)
