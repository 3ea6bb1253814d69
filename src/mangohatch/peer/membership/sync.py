"""Joining through seeds and comparison of whole tables with random members."""

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
    """Joins the fleet, and heals what gossip missed or a partition split."""

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

        :param seeds: peer addresses; this host's own is ignored
        """
        self._seeds.update(seeds)
        self._seeds.discard(self._own_endpoint)

    @property
    def has_no_seeds(self) -> bool:
        """
        Tell whether this host was given no other host to join.

        :return: True for a fleet of one
        """
        return not self._seeds

    def tick(self, now_ms: float) -> None:
        """
        Try to join, or compare tables, when that is due.

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
        """Send the own entry to some seeds and ask for their tables."""
        seeds = sorted(self._seeds, key=lambda seed: (seed.address, seed.port))
        for seed in self._rng.sample(seeds, min(SEEDS_PER_ATTEMPT, len(seeds))):
            message = MemberSync(members=[self._own()], reply_wanted=True)
            self._transport.send_to(seed, message)

    def compare(self, now_ms: float) -> None:
        """
        Compare tables with a random member, now and then with one believed gone.

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
        List addresses where members may live that are believed gone.

        :param live: addresses of live members
        :return: addresses of seeds and remembered members
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
        List the table for another host, without those long gone.

        :param now_ms: monotonic time
        :return: this host first
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
        Send the whole table to a member whose table differs.

        :param endpoint: where the member listens
        :param message: hash of its table
        :param now_ms: monotonic time
        """
        if message.hash != self._table.digest(self._own()):
            reply = MemberSync(members=self.entries(now_ms), reply_wanted=True)
            self._transport.send_to(endpoint, reply)

    def on_sync(self, endpoint: Endpoint, message: MemberSync, now_ms: float) -> None:
        """
        Answer another host's table with the own one where asked to.

        A table that names this host shows that it has joined.

        :param endpoint: where the host listens
        :param message: its table, already taken in
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
        Forget members that have been gone for long.

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
