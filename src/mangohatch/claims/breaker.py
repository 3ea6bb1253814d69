"""Circuit breaker for calls to the store."""

import random

from mangohatch.clock import Clock
from mangohatch.store.backoff import Backoff

__all__ = ["StoreBreaker"]

FIRST_PROBE_DELAY_MS = 250.0
MAX_PROBE_DELAY_MS = 5000.0


class StoreBreaker:
    """
    Admits all calls until one fails, then one call at a time as a probe.

    :param clock: clock of this host
    :param rng: source of the backoff jitter
    """

    def __init__(self, *, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._backoff = Backoff(
            first_ms=FIRST_PROBE_DELAY_MS, limit_ms=MAX_PROBE_DELAY_MS, rng=rng
        )
        self._open = False
        self._probing = False
        self._probe_at_ms = 0.0

    def admit(self) -> bool:
        """
        Request permission for a call.

        The caller must record a success, a failure or no result for each admitted
        call.

        :return: whether the call may be made
        """
        if not self._open:
            return True
        if self._probing or self._clock.now_ms() < self._probe_at_ms:
            return False
        self._probing = True
        return True

    def record_success(self) -> None:
        """Record that the store answered."""
        self._open = False
        self._probing = False
        self._backoff.reset()

    def record_failure(self) -> None:
        """Record that the store did not answer."""
        now_ms = self._clock.now_ms()
        if self._open and not self._probing:
            return
        self._open = True
        self._probing = False
        self._probe_at_ms = now_ms + self._backoff.next_ms()

    def record_no_result(self) -> None:
        """Record that an admitted call ended without evidence about the store."""
        self._probing = False
