"""A token bucket whose rate may change at any time."""

from mangohatch.clock import Clock

__all__ = ["TokenBucket"]

BURST_S = 0.25  # tokens of this time are kept for requests that arrive together
MIN_WAIT_MS = 1.0  # above rounding errors
MS_PER_S = 1000.0


class TokenBucket:
    """
    Accrues tokens at a rate and keeps few of them.

    A new bucket is empty: another host may just have spent the tokens of this time.

    :param clock: source of time
    :param burst_s: time whose tokens are kept beside one, in seconds
    """

    def __init__(self, *, clock: Clock, burst_s: float = BURST_S) -> None:
        self._clock = clock
        self._burst_s = burst_s
        self._tokens = 0.0
        self._filled_ms = clock.now_ms()

    def count(self, per_s: float) -> int:
        """
        Count the tokens that may be taken.

        :param per_s: rate in tokens a second since the last call
        :return: whole tokens
        """
        now_ms = self._clock.now_ms()
        earned = (now_ms - self._filled_ms) / MS_PER_S * per_s
        self._filled_ms = now_ms
        self._tokens = min(1.0 + self._burst_s * per_s, self._tokens + earned)
        return int(self._tokens)

    def take(self, count: int) -> None:
        """
        Take tokens.

        :param count: at most the result of :meth:`count`
        """
        self._tokens -= count

    def put_back(self, count: int) -> None:
        """
        Put back tokens that were not used.

        :param count: number of tokens
        """
        self._tokens += count

    def next_ms(self, per_s: float) -> float:
        """
        Return when the next token can be taken.

        :param per_s: rate in tokens a second, more than 0
        :return: milliseconds from the last call of :meth:`count`
        """
        return max(0.0, 1.0 - self._tokens) / per_s * MS_PER_S + MIN_WAIT_MS
