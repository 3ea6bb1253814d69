"""This host's own entry, and what it does about news of it."""

import dataclasses
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
    Keeps the own entry ahead of wrong news, and announces its changes.

    :param own: the entry
    :param table: the other members
    :param updates: changes that ride on probes
    :param health: local health
    :param transport: sends announcements
    :param on_replaced: called when a newer host has taken the id
    """

    def __init__(
        self,
        *,
        own: Member,
        table: MemberTable,
        updates: UpdateQueue,
        health: LocalHealth,
        transport: MemberTransport,
        on_replaced: Callable[[], None],
    ) -> None:
        self.own = own
        self.replaced = False
        self._table = table
        self._updates = updates
        self._health = health
        self._transport = transport
        self._on_replaced = on_replaced

    def handle_update(self, update: Member, *, established: bool) -> None:
        """
        Refute news of this host that are wrong.

        :param update: this host as another host knows it
        :param established: whether a newer entry can only mean a successor
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

    def set_leaving(self) -> None:
        """Announce that this host takes no new work and will leave."""
        if self.own.state == MemberState.ALIVE:
            self.own.state = MemberState.LEAVING
            self.announce()

    def set_left(self) -> None:
        """Announce that this host is gone; nothing is sent after this."""
        if not self.replaced:
            self.own.state = MemberState.LEFT
            self.announce()

    def announce(self) -> None:
        """Send the own entry to some members at once; gossip does the rest."""
        self._updates.put(self.copy())
        message = MemberSync(members=[self.copy()], reply_wanted=False)
        for row in list(self._table.live())[:ANNOUNCE_FANOUT]:
            self._transport.send_to(row.endpoint, message)

    def copy(self) -> Member:
        """
        Copy the own entry, which may change later.

        :return: the copy
        """
        return dataclasses.replace(self.own)
