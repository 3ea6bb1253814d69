"""Table in which a broker keeps slots and the leases on them."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from mangohatch.core.slots.speed import SpeedTable
from mangohatch.core.tables import UpstreamRow

__all__ = ["Lease", "Ledger", "SlotRow"]

SAMPLE_COUNT = 12
OTHER_ZONE_COST_MS = 0.8
SHARED_COST_MS = 0.5
TOKEN_BITS = 31

OpenCheck = Callable[[UpstreamRow], bool]


@dataclass(slots=True, kw_only=True)
class Lease:
    """Right of a holder to use ``weight`` slots of an upstream until ``until_ms``."""

    token: int
    upstream: str
    holder: str
    until_ms: float
    weight: int = 1


@dataclass(slots=True, kw_only=True)
class SlotRow:
    """Slots of one upstream, of which at most ``limit`` may be leased."""

    row: UpstreamRow
    limit: int
    used: int = 0
    reserved: bool = False
    tokens: set[int] = field(default_factory=set)

    @property
    def free(self) -> int:
        """Number of slots that can be leased now."""
        return max(0, self.limit - self.used)


class Ledger:
    """Slots and leases of the upstreams of one shard."""

    def __init__(self, *, rng: random.Random, speeds: SpeedTable) -> None:
        self._rng = rng
        self._speeds = speeds
        self._next_token = rng.getrandbits(TOKEN_BITS) + 1
        self.slots: dict[str, SlotRow] = {}
        self.leases: dict[int, Lease] = {}
        self.held: dict[str, int] = {}
        self._names: list[str] = []
        self._open: list[str] = []
        self._open_index: dict[str, int] = {}

    def sync(self, rows: Iterable[UpstreamRow]) -> None:
        """
        Add and remove slots after a change of the upstreams.

        The leases on a removed upstream end.

        :param rows: all upstreams of the shard
        """
        fresh = {row.name: row for row in rows}
        for name in self.slots.keys() - fresh.keys():
            for token in list(self.slots[name].tokens):
                self.end(token)
            del self.slots[name]
            self._update_open(name)
        for name, row in fresh.items():
            known = self.slots.get(name)
            if known is None:
                self.slots[name] = SlotRow(row=row, limit=row.slots)
            else:
                known.row = row
                known.limit = min(known.limit, row.slots)
            self._update_open(name)
        self._speeds.retain(set(fresh))
        self._names = list(fresh)

    def set_limit(self, upstream: str, limit: int) -> None:
        """
        Set the number of slots of an upstream that may be leased.

        :param upstream: name of the upstream
        :param limit: maximum number of leased slots
        """
        slot = self.slots[upstream]
        if slot.limit != limit:
            slot.limit = limit
            self._update_open(upstream)

    def free_count(self) -> int:
        """
        Count the upstreams with a free slot.

        :return: number of upstreams
        """
        return len(self._open)

    def first_zone(self) -> str:
        """
        Return the availability zone of one upstream with a free slot.

        :return: the zone, empty if no slot is free
        """
        return self.slots[self._open[0]].row.zone if self._open else ""

    def find(
        self, *, zone: str, avoid: Iterable[str], is_open: OpenCheck, now_ms: float
    ) -> SlotRow | None:
        """
        Find the free slot with the shortest expected response time.

        :param zone: availability zone of the holder
        :param avoid: names of upstreams not to use
        :param is_open: returns whether an upstream accepts new work
        :param now_ms: monotonic time in milliseconds
        :return: the upstream's slots, None if none is free
        """
        best, best_ms = None, 0.0
        for name in self._sample():
            slot = self.slots[name]
            if slot.reserved or name in avoid or not is_open(slot.row):
                continue
            cost_ms = self._speeds.excess_ms(name, now_ms)
            if slot.row.zone != zone:
                cost_ms += OTHER_ZONE_COST_MS
            if slot.used:
                cost_ms += SHARED_COST_MS
            if best is None or cost_ms < best_ms:
                best, best_ms = slot, cost_ms
        return best

    def _sample(self) -> Iterable[str]:
        names = self._open
        count = len(names)
        if count <= SAMPLE_COUNT:
            return names
        draw = self._rng.random
        return {names[int(draw() * count)] for _ in range(SAMPLE_COUNT)}

    def find_remote(self, zone: str, zone_of: Callable[[str], str]) -> Lease | None:
        """
        Find a lease whose upstream is in a zone and whose holder is in another one.

        :param zone: availability zone of the upstream
        :param zone_of: returns the zone of a holder
        :return: a lease, None if no sampled upstream has one
        """
        for _ in range(SAMPLE_COUNT):
            slot = self.slots[self._names[int(self._rng.random() * len(self._names))]]
            if slot.row.zone != zone:
                continue
            for token in slot.tokens:
                lease = self.leases[token]
                if zone_of(lease.holder) != zone:
                    return lease
        return None

    def lease(
        self, slot: SlotRow, *, holder: str, until_ms: float, weight: int = 1
    ) -> Lease:
        """
        Lease slots of an upstream.

        :param slot: the upstream's slots
        :param holder: host id of the holder
        :param until_ms: monotonic time in milliseconds at which the lease expires
        :param weight: number of leased slots
        :return: the lease
        """
        self._next_token += 1
        return self.adopt(
            Lease(
                token=self._next_token,
                upstream=slot.row.name,
                holder=holder,
                until_ms=until_ms,
                weight=weight,
            )
        )

    def adopt(self, lease: Lease) -> Lease:
        """
        Add a lease, which another broker may have granted.

        :param lease: a lease on a known upstream
        :return: the lease
        """
        slot = self.slots[lease.upstream]
        self.leases[lease.token] = lease
        slot.tokens.add(lease.token)
        slot.used += lease.weight
        self.held[lease.holder] = self.held.get(lease.holder, 0) + 1
        self._update_open(lease.upstream)
        return lease

    def end(self, token: int) -> Lease | None:
        """
        End a lease.

        :param token: token of the lease
        :return: the lease, None if the token is unknown
        """
        lease = self.leases.pop(token, None)
        if lease is None:
            return None
        slot = self.slots[lease.upstream]
        slot.tokens.discard(token)
        slot.used -= lease.weight
        self.held[lease.holder] -= 1
        if not self.held[lease.holder]:
            del self.held[lease.holder]
        self._update_open(lease.upstream)
        return lease

    def expire(self, now_ms: float) -> list[Lease]:
        """
        End the leases that have expired.

        :param now_ms: monotonic time in milliseconds
        :return: the ended leases
        """
        expired = [lease for lease in self.leases.values() if lease.until_ms <= now_ms]
        for lease in expired:
            self.end(lease.token)
        return expired

    def _update_open(self, name: str) -> None:
        slot = self.slots.get(name)
        index = self._open_index.get(name)
        if slot is not None and slot.free and index is None:
            self._open_index[name] = len(self._open)
            self._open.append(name)
        elif index is not None and (slot is None or not slot.free):
            last = self._open.pop()
            del self._open_index[name]
            if last != name:
                self._open[index] = last
                self._open_index[last] = index
