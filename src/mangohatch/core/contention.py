"""Order in which hosts may take a slot that became free."""

import math
from dataclasses import dataclass

from mangohatch.clock import Clock
from mangohatch.core.subset import SubsetTable
from mangohatch.ranking import rendezvous_hash

__all__ = ["ContentionOrder", "ContentionSettings"]

HASH_RANGE = 2.0**64  # number of values of the ranking hash


@dataclass(slots=True, kw_only=True, frozen=True)
class ContentionSettings:
    """
    Times of the contention order, in milliseconds.

    Each host in the order has a window of ``window_ms``. Hosts beyond ``max_windows``
    share the last one. The demand that a host reports is valid for ``demand_ttl_ms``
    times the number of audiences to which hosts announce it in turn.
    """

    window_ms: float = 4.0  # a message between zones, plus two event loop iterations
    max_windows: int = 8  # 32 ms in total, a third of a short request
    demand_ttl_ms: float = 150.0  # three times the interval of demand announcements


@dataclass(slots=True, kw_only=True)
class Demand:
    """Urgency of the calls that wait on a host, received at ``received_ms``."""

    urgency: float
    received_ms: float


class ContentionOrder:
    """
    Orders the hosts that compete for a freed slot.

    Designed for overload: when calls wait on many hosts, all of them are notified at
    the same time that an upstream has a free slot, and without an order each would send
    it a call. Every host computes the same order from a hash of the event and from the
    urgency that the other hosts reported. The more urgent the calls of a host are, the
    more often the host comes first. A host that does not use its window delays the
    hosts after it by one window. When two hosts have received different demands, both
    of them may come first in their own order, or neither.

    :param clock: source of time
    :param host_id: id of this host
    :param cfg: times
    :param subset: the hosts that use each upstream; None if all hosts use all
    """

    def __init__(
        self,
        *,
        clock: Clock,
        host_id: str,
        cfg: ContentionSettings | None = None,
        subset: SubsetTable | None = None,
    ) -> None:
        self.host_id = host_id
        self._clock = clock
        self._subset = subset
        self._cfg = cfg or ContentionSettings()
        self._demands: dict[str, dict[str, Demand]] = {}

    def record_demand(self, service: str, host: str, urgency: float) -> None:
        """
        Record the urgency of the calls that wait on another host.

        :param service: name of the service
        :param host: id of the other host
        :param urgency: urgency of the waiting calls, 0 when none waits
        """
        demands = self._demands.setdefault(service, {})
        if urgency > 0.0:
            demands[host] = Demand(urgency=urgency, received_ms=self._clock.now_ms())
        else:
            demands.pop(host, None)

    def delay_ms(
        self, service: str, event: str, urgency: float, upstream: str = ""
    ) -> float:
        """
        Return how long a freed slot is reserved for the hosts before this one.

        :param service: name of the service
        :param event: identifier of the event that freed the slot, equal on all hosts
        :param urgency: urgency of the calls that wait on this host, 0 when none waits
        :param upstream: name of the upstream of the slot, empty if all hosts use it
        :return: milliseconds from now
        """
        demands = self._current_demands(service, upstream)
        if urgency <= 0.0:
            return min(len(demands), self._cfg.max_windows) * self._cfg.window_ms
        own = draw_position(event, self.host_id, urgency)
        earlier = sum(
            draw_position(event, host, demand.urgency) < own
            for host, demand in demands.items()
        )
        return min(earlier, self._cfg.max_windows) * self._cfg.window_ms

    def is_contested(self, service: str, upstream: str = "") -> bool:
        """
        Return whether calls wait on other hosts.

        :param service: name of the service
        :param upstream: counts only hosts that use this upstream, empty for all hosts
        :return: whether another host has reported demand that is still valid
        """
        return bool(self._current_demands(service, upstream))

    @property
    def window_ms(self) -> float:
        """Length of a window, in milliseconds."""
        return self._cfg.window_ms

    def _current_demands(self, service: str, upstream: str) -> dict[str, Demand]:
        demands = self._demands.get(service)
        if not demands:
            return {}
        since_ms = self._clock.now_ms() - self._ttl_ms(service)
        for host in [
            host for host, item in demands.items() if item.received_ms < since_ms
        ]:
            del demands[host]
        if self._subset is None or not upstream:
            return demands
        users = self._subset.users(service, upstream)
        return {host: item for host, item in demands.items() if host in users}

    def _ttl_ms(self, service: str) -> float:
        if self._subset is None:
            return self._cfg.demand_ttl_ms
        return self._cfg.demand_ttl_ms * len(self._subset.audiences(service))


def draw_position(event: str, host: str, urgency: float) -> float:
    """
    Compute the position of a host in the order; the lowest position comes first.

    :param event: identifier of the event that freed the slot
    :param host: id of the host
    :param urgency: weight of the host
    :return: position, exponentially distributed over events with a mean of
        1 / urgency; infinite if the urgency is 0
    """
    if urgency <= 0.0:
        return math.inf
    return (
        -math.log((rendezvous_hash(event, host) + 1.0) / (HASH_RANGE + 1.0)) / urgency
    )
