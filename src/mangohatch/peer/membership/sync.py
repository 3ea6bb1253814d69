"""Joining through seeds, and anti-entropy synchronization of member tables."""

import random
from collections.abc import Callable, Iterable

from mangohatch.peer.membership.settings import MembershipSettings
from mangohatch.peer.membership.table import Endpoint, MemberState, MemberTable
from mangohatch.peer.membership.transport import MemberTransport
from mangohatch.peer.messages.membership import Member, MemberDigest, MemberSync

__all__ = ["SyncSystem"]

SEEDS_PER_ATTEMPT = 3
UNREACHABLE_SHARE = 0.25


class SyncSystem:
    """
    Joins the fleet, and synchronizes member tables with random members.

    Synchronization delivers updates that gossip has lost, and joins the two sides of
    a network partition again once it has ended.
    """

    def __init__(
        self,
        *,
        own_endpoint: Endpoint,
        seeds: Iterable[Endpoint],
        cfg: MembershipSettings,
        rng: random.Random,
        table: MemberTable,
        transport: MemberTransport,
        own: Callable[[], Member],
        on_joined: Callable[[], None],
    ) -> None:
        self._own_endpoint = own_endpoint
        self._seeds: set[Endpoint] = set()
        self._cfg = cfg
        self._rng = rng
        self._table = table
        self._transport = transport
        self._own = own
        self._on_joined = on_joined
        self._next_ms = 0.0
        self.joined = False
        self.add_seeds(seeds)

    def add_seeds(self, seeds: Iterable[Endpoint]) -> None:
        """
        Add addresses through which the fleet can be reached.

        :param seeds: peer addresses; the address of this host is ignored
        """
        self._seeds.update(seeds)
        self._seeds.discard(self._own_endpoint)

    @property
    def has_no_seeds(self) -> bool:
        """
        Return whether there is no other host to join.

        :return: True for a fleet of one host
        """
        return not self._seeds

    def tick(self, now_ms: float) -> None:
        """
        Try to join, or synchronize tables, when either is due.

        :param now_ms: monotonic time
        """
        if now_ms < self._next_ms:
            return
        period_ms = self._cfg.sync_period_ms
        if not self.joined:
            period_ms = self._cfg.join_period_ms
            self.join()
        else:
            self.remove_expired(now_ms)
            self.compare(now_ms)
        self._next_ms = now_ms + period_ms * self._rng.uniform(0.8, 1.2)

    def join(self) -> None:
        """Send this host's entry to some seeds and request their tables."""
        seeds = sorted(self._seeds, key=lambda seed: (seed.address, seed.port))
        for seed in self._rng.sample(seeds, min(SEEDS_PER_ATTEMPT, len(seeds))):
            message = MemberSync(members=[self._own()], reply_wanted=True)
            self._transport.send_to(seed, message)

    def compare(self, now_ms: float) -> None:
        """
        Synchronize tables with a random member or an unreachable endpoint.

        A live member gets the digest of this host's table, and replies with its table
        when the digests differ. An unreachable endpoint gets the full table, so that
        the two sides of a partition find each other again.

        :param now_ms: monotonic time
        """
        live = [row.endpoint for row in self._table.live()]
        unreachable = self.unreachable_endpoints(set(live))
        if unreachable and (not live or self._rng.random() < UNREACHABLE_SHARE):
            message = MemberSync(members=self.entries(now_ms), reply_wanted=True)
            self._transport.send_to(self._rng.choice(unreachable), message)
        elif live:
            digest = self._table.digest(self._own())
            endpoint = self._rng.choice(live)
            self._transport.send_to(endpoint, MemberDigest(hash=digest))

    def unreachable_endpoints(self, live: set[Endpoint]) -> list[Endpoint]:
        """
        List endpoints of seeds and dead members where no live member listens.

        :param live: endpoints of live members
        :return: endpoints ordered by address and port, without that of this host
        """
        found = set(self._seeds)
        found.update(
            row.endpoint
            for row in self._table.rows.values()
            if row.state is MemberState.DEAD
        )
        found -= live
        found.discard(self._own_endpoint)
        return sorted(found, key=lambda one: (one.address, one.port))

    def entries(self, now_ms: float) -> list[Member]:
        """
        List the entries of the table that are sent to another host.

        Members that died or left more than ``announce_dead_ms`` ago are omitted.

        :param now_ms: monotonic time
        :return: entries, that of this host first
        """
        cutoff_ms = now_ms - self._cfg.announce_dead_ms
        rows = [
            row.to_message()
            for row in self._table.rows.values()
            if row.live or row.since_ms >= cutoff_ms
        ]
        return [self._own(), *rows]

    def on_digest(
        self, endpoint: Endpoint, message: MemberDigest, now_ms: float
    ) -> None:
        """
        Send the full table to a member whose digest differs.

        :param endpoint: endpoint of the member
        :param message: digest of its table
        :param now_ms: monotonic time
        """
        if message.hash != self._table.digest(self._own()):
            reply = MemberSync(members=self.entries(now_ms), reply_wanted=True)
            self._transport.send_to(endpoint, reply)

    def on_sync(self, endpoint: Endpoint, message: MemberSync, now_ms: float) -> None:
        """
        Handle another host's table, and reply with this host's table on request.

        This host has joined when another table contains its id.

        :param endpoint: endpoint of the other host
        :param message: its table, whose entries have already been applied
        :param now_ms: monotonic time
        """
        own_id = self._own().host_id
        if not self.joined and any(one.host_id == own_id for one in message.members):
            self.joined = True
            self._on_joined()
        if message.reply_wanted:
            reply = MemberSync(members=self.entries(now_ms), reply_wanted=False)
            self._transport.send_to(endpoint, reply)

    def remove_expired(self, now_ms: float) -> None:
        """
        Remove members that died or left more than ``tombstone_ms`` ago.

        :param now_ms: monotonic time
        """
        cutoff_ms = now_ms - self._cfg.tombstone_ms
        expired = [
            row.host_id
            for row in self._table.rows.values()
            if not row.live and row.since_ms < cutoff_ms
        ]
        for host_id in expired:
            del self._table.rows[host_id]
