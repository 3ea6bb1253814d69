"""The order in which hosts may take a place that became free."""

import math
from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.ranking import rank

__all__ = ["ContentionOrder", "ContentionSettings"]

HASH_RANGE = 2.0**64  # of the ranking


@dataclass(slots=True, kw_only=True, frozen=True)
class ContentionSettings:
    """
    Times of turns, in milliseconds.

    Each turn lasts ``window_ms``. Hosts beyond ``max_windows`` share the last one. What
    a host said of its waiting calls counts for ``demand_ttl_ms``.
    """

    window_ms: float = 4.0  # way of a note between zones, and a turn of two event loops
    max_windows: int = 8  # 32 ms, a third of a short request
    demand_ttl_ms: float = 150.0  # three times the pause between two statements


@dataclass(slots=True, kw_only=True)
class Demand:
    """How urgently a host waits for a service, as it said at ``received_ms``."""

    urgency: float
    received_ms: float


class ContentionOrder:
    """
    Orders the hosts that may take a place which all of them heard of.

    Answers overload: when calls wait on many hosts, each hears at the same time that an
    upstream has room for one, and without an order all would send it one. Every host
    works out the same order from a hash of what it heard and from what the others said
    of their waiting calls; the more urgently a host waits, the more often it is first.
    A host that leaves its turn unused delays those after it by one turn. Two hosts
    that know different demands may both believe to be first, or neither.

    :param clock: source of time
    :param host_id: this host
    :param cfg: times
    """

    def __init__(
        self, *, clock: Clock, host_id: str, cfg: ContentionSettings | None = None
    ) -> None:
        self.host_id = host_id
        self._clock = clock
        self._cfg = cfg or ContentionSettings()
        self._demands: dict[str, dict[str, Demand]] = {}

    def record_demand(self, service: str, host: str, urgency: float) -> None:
        """
        Take note of how urgently another host waits.

        :param service: name of the service
        :param host: the other host
        :param urgency: 0 when no call waits there
        """
        demands = self._demands.setdefault(service, {})
        if urgency > 0.0:
            demands[host] = Demand(urgency=urgency, received_ms=self._clock.now_ms())
        else:
            demands.pop(host, None)

    def delay_ms(self, service: str, event: str, urgency: float) -> float:
        """
        Tell how long this host leaves a free place to others.

        :param service: name of the service
        :param event: names what made the place free, the same on all hosts
        :param urgency: how urgently this host waits, 0 when no call does
        :return: milliseconds from now
        """
        own = draw_position(event, self.host_id, urgency)
        demands = self._current_demands(service)
        earlier = sum(
            draw_position(event, host, demand.urgency) < own
            for host, demand in demands.items()
        )
        return min(earlier, self._cfg.max_windows) * self._cfg.window_ms

    def is_contested(self, service: str) -> bool:
        """
        Tell whether calls wait at other hosts.

        :param service: name of the service
        :return: whether some do
        """
        return bool(self._current_demands(service))

    @property
    def window_ms(self) -> float:
        """How long a turn lasts."""
        return self._cfg.window_ms

    def _current_demands(self, service: str) -> dict[str, Demand]:
        since_ms = self._clock.now_ms() - self._cfg.demand_ttl_ms
        demands = self._demands.get(service)
        if not demands:
            return {}
        for host in [
            host for host, item in demands.items() if item.received_ms < since_ms
        ]:
            del demands[host]
        return demands


def draw_position(event: str, host: str, urgency: float) -> float:
    """
    Draw the place of a host in the order; the least comes first.

    :param event: names what the order is for
    :param host: the host
    :param urgency: its weight
    :return: exponentially distributed, with a mean of one over the weight
    """
    if urgency <= 0.0:
        return math.inf
    return -math.log((rank(event, host) + 1.0) / (HASH_RANGE + 1.0)) / urgency
