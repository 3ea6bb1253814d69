"""This host's own membership entry, and how it refutes wrong updates."""

import dataclasses
import random
from collections.abc import Callable

from mangohatch.peer.membership.health import LocalHealth
from mangohatch.peer.membership.table import (
    NON_LIVE_STATES,
    RANKS,
    MemberState,
    MemberTable,
)
from mangohatch.peer.membership.transport import MemberTransport
from mangohatch.peer.membership.updates import UpdateQueue
from mangohatch.peer.messages.membership import Member, MemberSync

__all__ = ["SelfEntry"]

ANNOUNCE_FANOUT = 32


class SelfEntry:
    """
    Holds this host's entry, refutes wrong updates of it and announces its changes.

    :param own: entry of this host
    :param table: the other members
    :param updates: updates to piggyback on pings and acks
    :param health: local health score
    :param rng: selects the receivers of announcements
    :param transport: sends announcements
    :param on_refuted: called with the refuted update of this host
    :param on_replaced: called when a newer host has taken the id of this one
    """

    def __init__(
        self,
        *,
        own: Member,
        table: MemberTable,
        updates: UpdateQueue,
        health: LocalHealth,
        rng: random.Random,
        transport: MemberTransport,
        on_refuted: Callable[[Member], None],
        on_replaced: Callable[[], None],
    ) -> None:
        self.own = own
        self.replaced = False
        self._table = table
        self._updates = updates
        self._health = health
        self._rng = rng
        self._transport = transport
        self._on_refuted = on_refuted
        self._on_replaced = on_replaced

    def handle_update(self, update: Member, *, established: bool) -> None:
        """
        Refute a wrong update of this host, or detect a successor.

        A wrong update is refuted with an incarnation above that of the update. An
        update with the current incarnation of this host means that other hosts
        suspect it, so it counts against the local health.

        :param update: entry of this host, as received from another host
        :param established: whether a newer entry from another address can only come
            from a successor
        """
        own = self.own
        rank = (update.incarnation, RANKS[MemberState(update.state)])
        if rank <= (own.incarnation, RANKS[MemberState(own.state)]):
            return
        elsewhere = (update.address, update.peer_port) != (own.address, own.peer_port)
        if elsewhere and established and update.state not in NON_LIVE_STATES:
            self.replaced = True
            self._on_replaced()
            return
        if own.state == MemberState.LEFT:
            return
        if update.incarnation == own.incarnation:
            self._health.degrade()
        own.incarnation = update.incarnation + 1
        self._updates.put(self.copy())
        self._on_refuted(update)

    def set_leaving(self) -> None:
        """Announce that this host takes no new work and will leave."""
        if self.own.state == MemberState.ALIVE:
            self.own.state = MemberState.LEAVING
            self.announce()

    def set_left(self) -> None:
        """Announce that this host has left; it sends nothing afterwards."""
        if not self.replaced:
            self.own.state = MemberState.LEFT
            self.announce()

    def announce(self) -> None:
        """Send this host's entry to some members at once; gossip reaches the others."""
        self._updates.put(self.copy())
        message = MemberSync(members=[self.copy()], reply_wanted=False)
        rows = list(self._table.live())
        if len(rows) > ANNOUNCE_FANOUT:
            rows = self._rng.sample(rows, ANNOUNCE_FANOUT)
        for row in rows:
            self._transport.send_to(row.endpoint, message)

    def copy(self) -> Member:
        """
        Copy this host's entry, because it may change later.

        :return: the copy
        """
        return dataclasses.replace(self.own)
