"""Exponential backoff with jitter."""

import random

__all__ = ["Backoff"]

GROWTH_FACTOR = 2.0


class Backoff:
    """
    Computes the delays between attempts.

    Each delay is drawn at random between half of a growing bound and the bound.

    :param first_ms: bound of the first delay in milliseconds
    :param limit_ms: largest bound in milliseconds
    :param rng: random source for the jitter
    """

    def __init__(self, *, first_ms: float, limit_ms: float, rng: random.Random) -> None:
        self._first_ms = first_ms
        self._limit_ms = limit_ms
        self._rng = rng
        self._bound_ms = first_ms

    def next_ms(self) -> float:
        """
        Draw the next delay and raise the bound.

        :return: time to wait in milliseconds
        """
        delay_ms = self._rng.uniform(self._bound_ms / 2, self._bound_ms)
        self._bound_ms = min(self._bound_ms * GROWTH_FACTOR, self._limit_ms)
        return delay_ms

    def reset(self) -> None:
        """Return to the bound of the first delay, after a success."""
        self._bound_ms = self._first_ms
