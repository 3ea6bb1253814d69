"""Distribution of configuration between hosts: pushes, relays and anti-entropy."""

import random
from collections.abc import Iterable, Sequence

from mangohatch.clock import Clock
from mangohatch.config import StateSettings
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.config import (
    ConfigDigest,
    ConfigItem,
    ConfigPull,
    ConfigPush,
)
from mangohatch.state.config_table import ConfigTable
from mangohatch.state.items import item_key
from mangohatch.state.lease import Lease
from mangohatch.state.ranking import rank_hosts

__all__ = ["AS_OF_KEY", "HASH_KEY", "Distribution"]

HASH_KEY = "#"
AS_OF_KEY = "@"
CONTROL_KEYS = frozenset({HASH_KEY, AS_OF_KEY})
MAX_PUSH_BYTES = 128 * 1024
CATCH_UP_INTERVAL_MS = 200.0
PULL_RETRY_MS = 500.0
NO_EPOCH = 0


class Distribution:
    """
    Sends this host's configuration to other hosts and applies theirs.

    A push names its reader, the host that read the store, and the epoch of the
    reader's lease. A push with an epoch below the highest received epoch is refused.
    Epoch 0 means that the reader does not hold the lease. A push without a reader
    comes from another host: a reply to a digest or a pull, a relayed push, or an
    object that the sender wrote itself.

    :param cfg: fan-out, and the fleet size above which pushes are relayed
    :param bus: sends and receives messages
    :param table: configuration of this host
    :param lease: the watch lease
    :param clock: clock of this host
    :param rng: random source for the choice of peers
    """

    def __init__(
        self,
        *,
        cfg: StateSettings,
        bus: PeerBus,
        table: ConfigTable,
        lease: Lease,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.epoch = NO_EPOCH
        self.holder = ""
        self.last_holder_push_ms = clock.now_ms()
        self.last_reader_push_ms = clock.now_ms()
        self.refused_pushes = 0
        self.peer_revisions: dict[str, dict[str, int]] = {}
        self.collecting = True
        self._cfg = cfg
        self._bus = bus
        self._table = table
        self._lease = lease
        self._clock = clock
        self._rng = rng
        self._last_catch_up_ms = clock.now_ms()
        self._pulled: dict[str, tuple[int, float]] = {}
        bus.subscribe(ConfigPush, self._on_push)
        bus.subscribe(ConfigDigest, self._on_digest)
        bus.subscribe(ConfigPull, self._on_pull)

    def push_as_holder(self, items: Sequence[ConfigItem]) -> bool:
        """
        Push changes, or a heartbeat when there are none, as the lease holder.

        :param items: objects that changed
        :return: False when this host does not hold the lease; nothing is sent then
        """
        if not self._lease.held():
            return False
        self._record_holder(self._bus.host_id, self._lease.epoch)
        self._push(items, self._bus.host_id, self._lease.epoch)
        return True

    def push_as_reader(self, items: Sequence[ConfigItem]) -> None:
        """
        Push objects that this host read from the store without the lease.

        :param items: objects that changed
        """
        self._push(items, self._bus.host_id, NO_EPOCH)

    def send_digest(self) -> None:
        """Send the hash of the table to a random peer."""
        peers = self.peers()
        if peers:
            digest = ConfigDigest(revisions={HASH_KEY: self._table.digest()})
            self._bus.send(self._rng.choice(peers), digest)

    def request_revisions(self, host_id: str) -> None:
        """
        Request all revisions of a peer.

        :param host_id: id of the peer
        """
        self._bus.send(host_id, ConfigPull(names=[]))

    def push_as_writer(self, items: Sequence[ConfigItem]) -> None:
        """
        Push objects that this host has just written to the store.

        :param items: objects that were written
        """
        self._push(items, "", NO_EPOCH)

    def stop_collecting(self) -> None:
        """Drop the revisions reported by peers; only a joining host needs them."""
        self.collecting = False
        self.peer_revisions.clear()

    def peers(self) -> list[str]:
        """
        List the other members.

        :return: host ids in ascending order
        """
        me = self._bus.host_id
        return [view.host_id for view in self._bus.members() if view.host_id != me]

    def is_caught_up_with(self, host_id: str) -> bool:
        """
        Return whether this host has every object at the revision a peer reported.

        :param host_id: id of the peer
        :return: whether the peer has reported and none of its objects is newer
        """
        reported = self.peer_revisions.get(host_id)
        if reported is None:
            return False
        mine = self._table.revisions()
        return all(
            mine.get(key, 0) >= revision
            for key, revision in reported.items()
            if key not in CONTROL_KEYS
        )

    def is_informed_by(self, host_id: str) -> bool:
        """
        Return whether this host has all objects of a peer that had a complete copy.

        :param host_id: id of the peer
        :return: whether the peer reported a complete configuration, and this host
            is caught up with it
        """
        reported = self.peer_revisions.get(host_id, {})
        return reported.get(AS_OF_KEY, 0) > 0 and self.is_caught_up_with(host_id)

    def _push(self, items: Sequence[ConfigItem], reader: str, epoch: int) -> None:
        for batch in split_batches(items):
            push = ConfigPush(
                items=batch,
                revision=self._table.revision,
                watcher=reader,
                epoch=epoch,
            )
            if len(self._bus.members()) <= self._cfg.relay_above:
                self._bus.broadcast(push)
            else:
                self._relay(push, self._standbys() if reader else [])

    def _relay(self, push: ConfigPush, always: Sequence[str]) -> None:
        peers = self.peers()
        if push.items:
            chosen = self._rng.sample(peers, min(self._cfg.fanout, len(peers)))
        else:
            chosen = []
        for host_id in dict.fromkeys([*always, *chosen]):
            self._bus.send(host_id, push)

    def _standbys(self) -> list[str]:
        ranked = rank_hosts(self.peers())
        return ranked[: self._cfg.relay_above]

    def _on_push(self, sender: str, push: ConfigPush) -> None:
        if push.watcher and push.epoch != NO_EPOCH:
            if push.epoch < self.epoch:
                self.refused_pushes += 1
                return
            self._record_holder(push.watcher, push.epoch)
        elif push.watcher:
            self.last_reader_push_ms = self._clock.now_ms()
        fresh = self._table.apply_all(push.items)
        for item in push.items:
            self._pulled.pop(item_key(item.kind, item.name), None)
        if fresh and len(self._bus.members()) > self._cfg.relay_above:
            self._relay(ConfigPush(items=fresh, revision=push.revision), [])
        if push.revision > self._table.revision:
            self._catch_up(sender)

    def _record_holder(self, holder: str, epoch: int) -> None:
        if epoch > self._lease.epoch:
            self._lease.drop()
        self.epoch = max(self.epoch, epoch)
        self.holder = holder
        self.last_holder_push_ms = self._clock.now_ms()

    def _catch_up(self, sender: str) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._last_catch_up_ms >= CATCH_UP_INTERVAL_MS:
            self._last_catch_up_ms = now_ms
            self._bus.send(sender, self._full_digest())

    def _full_digest(self) -> ConfigDigest:
        control = {HASH_KEY: self._table.digest(), AS_OF_KEY: self._table.as_of}
        return ConfigDigest(revisions=self._table.revisions() | control)

    def _on_digest(self, sender: str, digest: ConfigDigest) -> None:
        revisions = digest.revisions
        if AS_OF_KEY not in revisions:
            if revisions.get(HASH_KEY) != self._table.digest():
                self._bus.send(sender, self._full_digest())
            return
        if self.collecting:
            self.peer_revisions[sender] = revisions
        self._send_items(sender, self._table.newer_than(revisions))
        wanted = self._select_wanted(revisions)
        if wanted:
            self._bus.send(sender, ConfigPull(names=wanted))

    def _select_wanted(self, revisions: dict[str, int]) -> list[str]:
        now_ms = self._clock.now_ms()
        mine = self._table.revisions()
        wanted = []
        for key, revision in revisions.items():
            if key in CONTROL_KEYS or revision <= mine.get(key, 0):
                continue
            pulled_revision, pulled_ms = self._pulled.get(key, (0, now_ms))
            if revision <= pulled_revision and now_ms - pulled_ms < PULL_RETRY_MS:
                continue
            self._pulled[key] = (revision, now_ms)
            wanted.append(key)
        return wanted

    def _on_pull(self, sender: str, pull: ConfigPull) -> None:
        if not pull.names:
            self._bus.send(sender, self._full_digest())
            return
        known = (self._table.items.get(name) for name in pull.names)
        self._send_items(sender, [item for item in known if item is not None])

    def _send_items(self, sender: str, items: Sequence[ConfigItem]) -> None:
        if not items:
            return
        for batch in split_batches(items):
            self._bus.send(sender, ConfigPush(items=batch))


def split_batches(items: Iterable[ConfigItem]) -> list[list[ConfigItem]]:
    """
    Split objects into messages of bounded size.

    :param items: objects to send
    :return: at least one batch; only a batch of one object may exceed the limit
    """
    result: list[list[ConfigItem]] = [[]]
    size = 0
    for item in items:
        if result[-1] and size + len(item.json) > MAX_PUSH_BYTES:
            result.append([])
            size = 0
        result[-1].append(item)
        size += len(item.json)
    return result
