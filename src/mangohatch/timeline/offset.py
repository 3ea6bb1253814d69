"""Bounds of the offset between the clocks of two hosts."""

from dataclasses import dataclass

from mangohatch.clock import Clock

__all__ = ["OffsetBounds", "OffsetTable"]

DRIFT_PPM = 200.0
PPM = 1_000_000.0


@dataclass(slots=True, kw_only=True)
class OffsetBounds:
    """
    The remote wall clock minus the local one lies between the two bounds.

    ``measured_ms`` is the monotonic time of the round trip that gave them.
    """

    low_ms: float
    high_ms: float
    measured_ms: float

    def bounds_at(self, now_ms: float) -> tuple[float, float]:
        """
        Widen the bounds by the drift since they were measured.

        :param now_ms: monotonic time
        :return: lower and upper bound in milliseconds
        """
        drift_ms = (now_ms - self.measured_ms) * DRIFT_PPM / PPM
        return self.low_ms - drift_ms, self.high_ms + drift_ms


class OffsetTable:
    """Clock offset bounds by host, from round trips of messages."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._rows: dict[str, OffsetBounds] = {}

    def observe(
        self, host: str, *, sent_ms: float, remote_ms: float, received_ms: float
    ) -> None:
        """
        Take in a round trip.

        Bounds of one round trip replace older ones that they do not overlap:
        one of the clocks was stepped.

        :param host: the remote host
        :param sent_ms: local wall-clock time when the request was sent
        :param remote_ms: remote wall-clock time when the answer was sent
        :param received_ms: local wall-clock time when the answer arrived
        """
        now_ms = self._clock.now_ms()
        low_ms = remote_ms - received_ms
        high_ms = remote_ms - sent_ms
        row = self._rows.get(host)
        if row is not None:
            old_low_ms, old_high_ms = row.bounds_at(now_ms)
            if old_low_ms <= high_ms and low_ms <= old_high_ms:
                low_ms = max(low_ms, old_low_ms)
                high_ms = min(high_ms, old_high_ms)
        self._rows[host] = OffsetBounds(
            low_ms=low_ms, high_ms=high_ms, measured_ms=now_ms
        )

    def bounds(self, host: str) -> tuple[float, float] | None:
        """
        Look up the bounds for a host.

        :param host: the remote host
        :return: lower and upper bound in milliseconds, None when never measured
        """
        row = self._rows.get(host)
        return row.bounds_at(self._clock.now_ms()) if row is not None else None

    def remove(self, host: str) -> None:
        """
        Drop a host that has gone.

        :param host: the remote host
        """
        self._rows.pop(host, None)
