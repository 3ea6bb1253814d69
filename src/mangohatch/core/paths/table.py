"""Evidence about the direct paths from this host to upstreams."""

from collections import Counter

from mangohatch.clock import Clock
from mangohatch.core.tables import UpstreamRow
from mangohatch.core.upstream_path import ConnectFailure

__all__ = ["PathTable"]

OPENED = "opened"


class PathTable:
    """
    Records how new connections to upstreams end.

    ``connects`` counts them by result.

    :param clock: source of time
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self.connects: Counter[str] = Counter()

    def record_connected(self, upstream: UpstreamRow) -> None:
        """
        Record that an upstream accepted a direct connection.

        :param upstream: the upstream
        """
        self.connects[OPENED] += 1
        upstream.path.heard_ms = self._clock.now_ms()

    def record_failed(self, upstream: UpstreamRow, failure: ConnectFailure) -> None:
        """
        Record that a direct connection could not be opened.

        :param upstream: the upstream
        :param failure: how it failed
        """
        self.connects[failure] += 1
        upstream.path.failed_ms = self._clock.now_ms()
        upstream.path.failure = failure
