"""Measures how late the main loop of a host runs."""

import structlog

from mangohatch.clock import Clock

__all__ = ["LoopDelay"]

LOG_THRESHOLD_MS = 250.0  # half of the interval between two readings of the store
LOG_INTERVAL_MS = 1_000.0

log = structlog.get_logger()


class LoopDelay:
    """
    Counts the time by which iterations of the main loop start late.

    A host that receives more work than its processor share allows shows it here first:
    its timers, its messages and its callers all wait for the same loop.

    :param clock: source of time
    """

    def __init__(self, *, clock: Clock) -> None:
        self.total_ms = 0.0
        self._clock = clock
        self._due_ms: float | None = None
        self._next_log_ms = 0.0

    def expect(self, delay_ms: float) -> None:
        """
        Set when the next iteration is due.

        :param delay_ms: delay from now, in milliseconds
        """
        self._due_ms = self._clock.now_ms() + delay_ms

    def record(self) -> None:
        """Count how late the current iteration starts, and log a long delay."""
        if self._due_ms is None:
            return
        now_ms = self._clock.now_ms()
        late_ms = max(0.0, now_ms - self._due_ms)
        self.total_ms += late_ms
        if late_ms >= LOG_THRESHOLD_MS and now_ms >= self._next_log_ms:
            self._next_log_ms = now_ms + LOG_INTERVAL_MS
            log.warning("loop_delayed", late_ms=int(late_ms))
