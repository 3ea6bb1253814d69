"""Recall of leases from holders that can spare them."""

from collections.abc import Callable
from dataclasses import dataclass

from mangohatch.core.slots.ledger import Ledger
from mangohatch.peer.messages.slots import SlotGrant

__all__ = ["IDLE_LINGER_MS", "Demand", "Recaller"]

IDLE_LINGER_MS = 1.0
REMOTE_RECALL_DEMANDS = 3
RECENT_RECALL_MS = 5.0
MIN_RECALL_INTERVAL_MS = 1.0


@dataclass(slots=True, kw_only=True)
class Demand:
    """Slots that a holder requested and has not received, until ``until_ms``."""

    holder: str
    count: int
    avoid: list[str]
    until_ms: float
    isolated: bool = False

    @property
    def key(self) -> tuple[str, bool]:
        """Holder and isolation flag; a holder has at most one demand for each."""
        return self.holder, self.isolated


class Recaller:
    """Recalls leases from holders, from each holder at most once a millisecond."""

    def __init__(
        self,
        *,
        ledger: Ledger,
        zone_of: Callable[[str], str],
        post: Callable[[str, SlotGrant], None],
    ) -> None:
        self._ledger = ledger
        self._zone_of = zone_of
        self._post = post
        self._last_recall_ms: dict[str, float] = {}

    def recall(
        self, demand: Demand, *, now_ms: float, lingering: bool, waiting: int
    ) -> None:
        """
        Recall leases for a demand that cannot be met.

        While holders keep idle leases, or while few demands wait, idle leases are
        recalled. Otherwise a lease on an upstream in the zone of the demand is
        recalled from a holder in another zone.

        :param demand: the unmet demand
        :param now_ms: monotonic time in milliseconds
        :param lingering: whether holders keep leases idle for a linger time
        :param waiting: number of waiting demands
        """
        if lingering or waiting < REMOTE_RECALL_DEMANDS:
            self._recall_idle(demand, now_ms)
        else:
            self._recall_remote(demand, now_ms)

    def _recall_idle(self, demand: Demand, now_ms: float) -> None:
        held = self._ledger.held
        limit = held.get(demand.holder, 0)
        recent_since_ms = now_ms - RECENT_RECALL_MS
        last_ms = self._last_recall_ms.get
        holders = sorted(
            (name for name in held if held[name] > limit),
            key=lambda name: (last_ms(name, 0.0) > recent_since_ms, -held[name]),
        )
        for name in holders[: demand.count]:
            self._send_recall(name, now_ms, SlotGrant(recall=1))

    def _recall_remote(self, demand: Demand, now_ms: float) -> None:
        zone = self._zone_of(demand.holder)
        lease = self._ledger.find_remote(zone, self._zone_of)
        held = self._ledger.held
        if lease is not None and held[lease.holder] >= held.get(demand.holder, 0):
            self._send_recall(lease.holder, now_ms, SlotGrant(recalled=[lease.token]))

    def _send_recall(self, holder: str, now_ms: float, grant: SlotGrant) -> None:
        last_ms = self._last_recall_ms.get(holder, -MIN_RECALL_INTERVAL_MS)
        if now_ms - last_ms >= MIN_RECALL_INTERVAL_MS:
            self._last_recall_ms[holder] = now_ms
            self._post(holder, grant)
