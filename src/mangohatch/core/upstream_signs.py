"""The signs of one upstream process, as this host knows them."""

import math
from dataclasses import dataclass

__all__ = ["InstanceKey", "UpstreamSigns"]

# Service, name, address, port and start time; another process differs in one of them.
InstanceKey = tuple[str, str, str, int, float]


@dataclass(slots=True, kw_only=True)
class UpstreamSigns:
    """
    What an upstream process asked for, and when. Times are monotonic milliseconds.

    ``leaving_since_ms`` is None unless the upstream leaves; ``leaving_ms`` is the time
    of its latest response that said so, and ``origin`` the host that received the first
    one. It wants no request of this host before ``paused_until_ms``; peers were told of
    that at ``announced_ms``. After a pause it gets one request at a time (``on_trial``)
    until it accepts one. It asked another host for a pause until
    ``peer_paused_until_ms``; this host ignores such pauses before
    ``ignore_peers_until_ms``.
    """

    leaving_since_ms: float | None = None
    leaving_ms: float = -math.inf
    origin: str = ""
    announced_ms: float = -math.inf
    paused_until_ms: float = -math.inf
    on_trial: bool = False
    peer_paused_until_ms: float = -math.inf
    ignore_peers_until_ms: float = -math.inf

    @property
    def leaving(self) -> bool:
        """Whether the upstream takes no new work because it is about to end."""
        return self.leaving_since_ms is not None

    def is_paused(self, now_ms: float) -> bool:
        """
        Return whether a pause is in force.

        :param now_ms: monotonic time in milliseconds
        :return: whether the upstream wants no request of this host
        """
        return now_ms < self.paused_until_ms

    def opens_ms(self, now_ms: float) -> float:
        """
        Return when the upstream is expected to accept requests again.

        :param now_ms: monotonic time in milliseconds
        :return: end of the pause in force, also where this host obeys only a part of
            it; infinitely early if there is none
        """
        if now_ms >= self.paused_until_ms:
            return -math.inf
        return max(self.paused_until_ms, self.peer_paused_until_ms)

    def describe(self, now_ms: float) -> str:
        """
        Describe the sign in force, for the log.

        :param now_ms: monotonic time in milliseconds
        :return: the sign with its age or its rest, empty if there is none
        """
        if self.leaving_since_ms is not None:
            return f"leaves, known for {now_ms - self.leaving_since_ms:.0f} ms"
        if now_ms < self.paused_until_ms:
            return f"pauses for {self.paused_until_ms - now_ms:.0f} ms"
        return ""

    def allows(self, now_ms: float, in_flight: int) -> bool:
        """
        Return whether the upstream may get another request of this host.

        :param now_ms: monotonic time in milliseconds
        :param in_flight: requests of this host at the upstream
        :return: False if it leaves, during a pause, and beside a trial
        """
        if self.leaving_since_ms is not None or now_ms < self.paused_until_ms:
            return False
        return not (self.on_trial and in_flight)
