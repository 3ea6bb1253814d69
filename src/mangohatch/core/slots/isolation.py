"""Reservation of upstreams for isolated calls."""

from collections.abc import Callable, Collection

from mangohatch.core.slots.ledger import Lease, Ledger, OpenCheck, SlotRow

__all__ = ["Isolation"]

Owner = tuple[str, bool]


class Isolation:
    """
    Reserves upstreams for isolated calls until the leases on them have ended.

    No other lease is granted on a reserved upstream.
    """

    def __init__(self, *, ledger: Ledger, recall: Callable[[Lease], None]) -> None:
        self._ledger = ledger
        self._recall = recall
        self._reserved: dict[Owner, str] = {}

    def find(
        self, owner: Owner, *, avoid: Collection[str], is_open: OpenCheck
    ) -> SlotRow | None:
        """
        Find an upstream without leases, or reserve one if there is none.

        :param owner: key of the demand
        :param avoid: names of upstreams not to use
        :param is_open: returns whether an upstream accepts new work
        :return: an upstream without a lease, None if the demand has to wait
        """
        slot = self._find_reserved(owner, is_open)
        if slot is None:
            slot = self._choose(avoid, is_open)
            if slot is None:
                return None
            if slot.used:
                self._reserve(owner, slot)
        if slot.used:
            return None
        self.end_reservation(owner)
        return slot

    def end_reservation(self, owner: Owner) -> None:
        """
        End the reservation of a demand.

        :param owner: key of the demand
        """
        name = self._reserved.pop(owner, None)
        if name in self._ledger.slots:
            self._ledger.slots[name].reserved = False

    def _find_reserved(self, owner: Owner, is_open: OpenCheck) -> SlotRow | None:
        slot = self._ledger.slots.get(self._reserved.get(owner, ""))
        if slot is not None and is_open(slot.row):
            return slot
        self.end_reservation(owner)
        return None

    def _choose(self, avoid: Collection[str], is_open: OpenCheck) -> SlotRow | None:
        slots = [
            slot
            for name, slot in self._ledger.slots.items()
            if name not in avoid and not slot.reserved and is_open(slot.row)
        ]
        return min(slots, key=lambda slot: slot.used, default=None)

    def _reserve(self, owner: Owner, slot: SlotRow) -> None:
        self._reserved[owner] = slot.row.name
        slot.reserved = True
        for token in slot.tokens:
            self._recall(self._ledger.leases[token])
