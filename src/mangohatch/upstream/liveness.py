"""Adaptive timeout after which a silent connection is considered dead."""

from mangohatch.core.tables import UpstreamRow

__all__ = ["SilenceDetector"]

MIN_TIMEOUT_MS = 100.0
MAX_TIMEOUT_MS = 5_000.0
NEW_CONNECTION_FACTOR = 2.0
DEVIATION_FACTOR = 6.0
GAIN = 0.05
MIN_SAMPLES = 20


class FirstByteEstimate:
    """Moving average and mean deviation of the time to the first byte."""

    __slots__ = ("count", "deviation_ms", "mean_ms")

    def __init__(self) -> None:
        self.count = 0
        self.mean_ms = 0.0
        self.deviation_ms = 0.0

    def observe(self, first_byte_ms: float) -> None:
        """
        Add a sample.

        :param first_byte_ms: time from sending to the first byte, in milliseconds
        """
        self.count += 1
        gain = max(GAIN, 1.0 / self.count)
        error_ms = first_byte_ms - self.mean_ms
        self.mean_ms += gain * error_ms
        self.deviation_ms += gain * (abs(error_ms) - self.deviation_ms)


class SilenceDetector:
    """
    Computes the timeout for the first byte of a response, per service.

    The timeout of a reused connection is shorter than that of a new one, because a
    successful connect has just verified the path of the new connection.
    """

    def __init__(self) -> None:
        self._estimates: dict[str, FirstByteEstimate] = {}

    def observe(self, upstream: UpstreamRow, first_byte_ms: float) -> None:
        """
        Add a sample for the service of an upstream.

        :param upstream: sender of the response
        :param first_byte_ms: time from sending to the first byte, in milliseconds
        """
        estimate = self._estimates.get(upstream.service)
        if estimate is None:
            estimate = self._estimates[upstream.service] = FirstByteEstimate()
        estimate.observe(first_byte_ms)

    def limit_ms(self, upstream: UpstreamRow, *, reused: bool) -> float:
        """
        Return the timeout for the first byte.

        :param upstream: destination of the request
        :param reused: whether the connection carried a request before
        :return: timeout in milliseconds after which the connection is considered dead
        """
        estimate = self._estimates.get(upstream.service)
        if estimate is None or estimate.count < MIN_SAMPLES:
            return MAX_TIMEOUT_MS
        limit_ms = estimate.mean_ms + DEVIATION_FACTOR * estimate.deviation_ms
        if not reused:
            limit_ms *= NEW_CONNECTION_FACTOR
        return min(max(limit_ms, MIN_TIMEOUT_MS), MAX_TIMEOUT_MS)
