"""Joining through seeds, and anti-entropy synchronization of member tables."""

import math
import random
from collections import deque
from collections.abc import Callable, Iterable

from mangohatch.peer.membership.settings import MembershipSettings
from mangohatch.peer.membership.table import (
    Endpoint,
    MemberRow,
    MemberState,
    MemberTable,
)
from mangohatch.peer.membership.transport import MemberTransport
from mangohatch.peer.messages.membership import Member, MemberDigest, MemberSync

__all__ = ["SyncSystem"]

UNREACHABLE_SHARE = 0.25
SAMPLE_SIZE = 8  # members to get the whole table from
MANY_JOINS = 3  # more than single restarts cause
STORM_MS = 1_500.0  # tables agree by then


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
        self._seeds_to_try: deque[Endpoint] = deque()
        self._joins = 0
        self._storm_until_ms = -math.inf
        self._tables_sent = 0
        self._tables_since_ms = 0.0
        self.joined = False
        self.add_seeds(seeds)

    def set_seeds(self, seeds: Iterable[Endpoint]) -> None:
        """
        Replace the addresses through which the fleet can be reached.

        :param seeds: peer addresses; the address of this host is ignored
        """
        self._seeds.clear()
        self._seeds_to_try.clear()
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
        alone = not any(self._table.live())
        if not self.joined:
            self.join()
        else:
            self.remove_expired(now_ms)
            self.compare(now_ms)
        period_ms = self._cfg.sync_period_ms
        if alone or not self.joined:
            period_ms = self._cfg.join_period_ms
        elif now_ms < self._storm_until_ms:
            period_ms = min(self._cfg.resync_ms, period_ms)
        self._joins = 0
        self._next_ms = now_ms + period_ms * self._rng.uniform(0.8, 1.2)

    def on_joins(self, count: int, now_ms: float) -> None:
        """
        Compare tables often for a while when many members join.

        Gossip alone takes seconds to carry so many updates.

        :param count: number of members that a message added
        :param now_ms: monotonic time
        """
        self._joins += count
        if self._joins >= MANY_JOINS:
            self.compare_often(now_ms)

    def compare_often(self, now_ms: float) -> None:
        """
        Compare tables every ``resync_ms`` for ``STORM_MS``.

        :param now_ms: monotonic time
        """
        self._joins = 0
        self._storm_until_ms = now_ms + STORM_MS
        self._next_ms = min(self._next_ms, now_ms + self._cfg.resync_ms)

    def join(self) -> None:
        """Send this host's entry to some seeds and request their tables."""
        count = min(self._cfg.seeds_per_attempt, len(self._seeds))
        while len(self._seeds_to_try) < count:
            seeds = sorted(self._seeds, key=lambda seed: (seed.address, seed.port))
            self._rng.shuffle(seeds)
            self._seeds_to_try.extend(seeds)
        for _ in range(count):
            seed = self._seeds_to_try.popleft()
            message = MemberSync(members=[self._own()], reply_wanted=True)
            self._transport.send_to(seed, message)

    def compare(self, now_ms: float) -> None:
        """
        Synchronize tables with a random member or an unreachable endpoint.

        A live member gets the digest of this host's table, and replies with its table
        when the digests differ. An unreachable endpoint gets the full table, or only
        this host's entry if others do not trust deaths, so that the two sides of a
        partition find each other again.

        :param now_ms: monotonic time
        """
        live = [row.endpoint for row in self._table.live()]
        unreachable = self.unreachable_endpoints(set(live))
        if unreachable and (not live or self._rng.random() < UNREACHABLE_SHARE):
            members = self.entries(now_ms) if self._cfg.trust_deaths else [self._own()]
            message = MemberSync(members=members, reply_wanted=True)
            # A host that is alone waits for the first answer of several.
            count = 1 if live else min(self._cfg.seeds_per_attempt, len(unreachable))
            for endpoint in self._rng.sample(unreachable, count):
                self._transport.send_to(endpoint, message)
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

    def entries(self, now_ms: float, receiver: str = "") -> list[Member]:
        """
        List the entries of the table that are sent to another host.

        Members that died or left more than ``announce_dead_ms`` ago are omitted, and
        all dead ones if hosts do not trust deaths. The entry of the receiver is always
        sent, and comes second, so that the receiver can refute it.

        :param now_ms: monotonic time
        :param receiver: host id of the receiver, if known
        :return: entries, that of this host first
        """
        cutoff_ms = now_ms - self._cfg.announce_dead_ms
        trusted = set(MemberState)
        if not self._cfg.trust_deaths:
            trusted.discard(MemberState.DEAD)
        found = [self._own()]
        receiver_row = self._table.rows.get(receiver)
        if receiver_row is not None:
            found.append(receiver_row.to_message())
        found.extend(
            row.to_message()
            for row in self._table.rows.values()
            if row.state in trusted
            and (row.live or row.since_ms >= cutoff_ms)
            and row is not receiver_row
        )
        return found

    def make_table(self, receiver: str, now_ms: float) -> list[Member]:
        """
        List the entries for a host, only a few above the limit of full tables.

        The limit bounds what a seed sends when a whole fleet starts; the receiver gets
        the table from another host.

        :param receiver: host id of the receiver
        :param now_ms: monotonic time
        :return: entries, that of this host first
        """
        if now_ms - self._tables_since_ms >= self._cfg.join_period_ms:
            self._tables_since_ms = now_ms
            self._tables_sent = 0
        self._tables_sent += 1
        if self._tables_sent <= self._cfg.tables_per_period:
            return self.entries(now_ms, receiver)
        chosen = [self._table.rows[receiver]]
        others = [row for row in self._table.live() if row.host_id != receiver]
        chosen.extend(self._rng.sample(others, min(SAMPLE_SIZE, len(others))))
        return [self._own(), *(row.to_message() for row in chosen)]

    def on_digest(self, row: MemberRow, message: MemberDigest, now_ms: float) -> None:
        """
        Send the full table to a member whose digest differs.

        :param row: row of the member
        :param message: digest of its table
        :param now_ms: monotonic time
        """
        if message.hash != self._table.digest(self._own()):
            members = self.make_table(row.host_id, now_ms)
            reply = MemberSync(members=members, reply_wanted=True)
            self._transport.send_to(row.endpoint, reply)
        elif row.live:
            self.set_joined(now_ms)

    def set_joined(self, now_ms: float) -> None:
        """
        Note that another host's table contains this host.

        :param now_ms: monotonic time
        """
        if not self.joined:
            self.joined = True
            self.compare_often(now_ms)
            self._on_joined()

    def on_sync(
        self, row: MemberRow, endpoint: Endpoint, message: MemberSync, now_ms: float
    ) -> None:
        """
        Handle another host's table, and reply with this host's table on request.

        This host has joined when another table contains its id.

        :param row: row of the other host
        :param endpoint: endpoint of the other host
        :param message: its table, whose entries have already been applied
        :param now_ms: monotonic time
        """
        own_id = self._own().host_id
        if any(one.host_id == own_id for one in message.members):
            self.set_joined(now_ms)
        if message.reply_wanted:
            members = self.make_table(row.host_id, now_ms)
            reply = MemberSync(members=members, reply_wanted=False)
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
