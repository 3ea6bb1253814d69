"""Weights of placement, and the interface that is notified of it."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from mangohatch.core.call import Grant

__all__ = ["NoPlacementListener", "PlacementListener", "PlacementSettings"]


class PlacementListener(ABC):
    """Is notified of placed requests and of waiting calls."""

    @abstractmethod
    def on_started(self, grant: Grant) -> None:
        """
        Handle a request that is about to be sent.

        :param grant: the grant, with the request and its upstream
        """

    @abstractmethod
    def on_ended(self, grant: Grant) -> None:
        """
        Handle the end of a request.

        :param grant: the grant that was passed to :meth:`on_started`
        """

    @abstractmethod
    def on_waiting(self, service: str) -> None:
        """
        Handle a call that found no free slot and waits.

        :param service: name of the call's service
        """


class NoPlacementListener(PlacementListener):
    """Ignores all notifications."""

    def on_started(self, grant: Grant) -> None:
        return None

    def on_ended(self, grant: Grant) -> None:
        return None

    def on_waiting(self, service: str) -> None:
        return None


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementSettings:
    """
    Weights and limits of placement.

    ``tie_tolerance`` is the share by which costs may differ and still count as equal.
    ``cross_zone_ms_per_kb`` is the cost of a kilobyte sent between availability zones,
    in milliseconds of a caller's time. A call waits for up to
    ``wait_for_faster_share`` of the time that it has to spare, at most
    ``max_wait_for_faster_ms``, while every free upstream would take at least
    ``slow_threshold`` times as long as at the typical speed. An upstream with more
    than ``high_load_share`` of its slots in use is assumed to take
    ``high_load_slowdown`` times as long. With ``late_requests_yield``, a call that is
    late does not bring an upstream under such load, as it would delay the others there
    and its own response has lost most of its value.
    """

    tie_tolerance: float = 0.1
    cross_zone_ms_per_kb: float = 1.5  # a 90 KB download costs 135 of its 300 spare ms
    slow_threshold: float = 2.4
    wait_for_faster_share: float = 0.33
    max_wait_for_faster_ms: float = 300.0  # an upstream's speed changes as often
    high_load_share: float = 0.8
    high_load_slowdown: float = 1.7
    late_requests_yield: bool = False

    def useful_slots(self, slots: int) -> int:
        """
        Count the slots up to which one more request adds to what an upstream completes.

        :param slots: requests that the upstream runs at once
        :return: all slots, or fewer if it completes more without high load
        """
        unslowed = int(self.high_load_share * slots)
        return unslowed if unslowed >= slots / self.high_load_slowdown else slots
