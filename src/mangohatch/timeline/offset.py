"""Estimates bounds of the offset between the clocks of two hosts."""

from dataclasses import dataclass

from mangohatch.clock import Clock

__all__ = ["OffsetBounds", "OffsetTable"]

DRIFT_PPM = 200.0
PPM = 1_000_000.0


@dataclass(slots=True, kw_only=True)
class OffsetBounds:
    """
    Lower and upper bound of the remote wall clock minus the local wall clock.

    ``measured_ms`` is the monotonic time of the last round trip that updated them.
    """

    low_ms: float
    high_ms: float
    measured_ms: float

    def bounds_at(self, now_ms: float) -> tuple[float, float]:
        """
        Return the bounds, widened by the possible clock drift since the measurement.

        :param now_ms: monotonic time in milliseconds
        :return: lower and upper bound in milliseconds
        """
        drift_ms = (now_ms - self.measured_ms) * DRIFT_PPM / PPM
        return self.low_ms - drift_ms, self.high_ms + drift_ms


class OffsetTable:
    """Clock offset bounds by host, measured by message round trips."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._rows: dict[str, OffsetBounds] = {}

    def observe(
        self, host: str, *, sent_ms: float, remote_ms: float, received_ms: float
    ) -> None:
        """
        Update the bounds with a round trip.

        The bounds of the round trip are intersected with the existing ones. When
        they do not overlap, one of the clocks was stepped, and the new bounds
        replace the existing ones.

        :param host: id of the remote host
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
        Return the current bounds of a host.

        :param host: id of the remote host
        :return: lower and upper bound in milliseconds, None without a measurement
        """
        row = self._rows.get(host)
        return row.bounds_at(self._clock.now_ms()) if row is not None else None

    def remove(self, host: str) -> None:
        """
        Remove the bounds of a host.

        :param host: id of the remote host
        """
        self._rows.pop(host, None)
