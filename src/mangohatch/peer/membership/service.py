"""Membership protocol of one host: its member table and the systems run per tick."""

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from mangohatch.clock import Clock
from mangohatch.peer.bus import MemberView
from mangohatch.peer.membership.health import LocalHealth
from mangohatch.peer.membership.probe import ProbeSystem
from mangohatch.peer.membership.recording import record_member, record_replaced
from mangohatch.peer.membership.self_entry import SelfEntry
from mangohatch.peer.membership.settings import MembershipSettings
from mangohatch.peer.membership.suspicion import SuspicionSystem
from mangohatch.peer.membership.sync import SyncSystem
from mangohatch.peer.membership.table import (
    RANKS,
    Endpoint,
    MemberRow,
    MemberState,
    MemberTable,
    UpdateResult,
)
from mangohatch.peer.membership.transport import MemberTransport
from mangohatch.peer.membership.updates import UpdateQueue
from mangohatch.peer.membership.views import (
    make_own_view,
    make_view,
    reply_endpoint,
)
from mangohatch.peer.messages.membership import (
    Ack,
    Member,
    MemberDigest,
    MemberSync,
    Nack,
    Ping,
    PingRequest,
)
from mangohatch.timeline.recorder import Recorder

__all__ = ["Membership"]

KNOWN_STATES = frozenset(MemberState)

MemberCallback = Callable[[MemberRow, MemberRow | None], None]


def ignore_member(row: MemberRow, previous: MemberRow | None) -> None:
    """
    Do nothing; used when nobody asks for single changes.

    :param row: row of the member after the change
    :param previous: row before the change; None for a new member
    """


def is_table(message: Any) -> bool:
    """
    Return whether a message has entries of others than its sender and receiver.

    :param message: a message of the membership protocol
    :return: False for an announcement, and for probes
    """
    return isinstance(message, MemberSync) and len(message.members) > 2


class Membership:
    """
    Membership protocol of one host, which maintains its view of the live hosts.

    It does no I/O: it sends messages through the transport, received messages are
    passed to :meth:`receive`, and :meth:`tick` advances timers. Each host sends a
    constant number of messages a period, whatever the size of the fleet.

    ``unknown_states`` counts received entries in states that this version does not
    have.
    """

    def __init__(
        self,
        *,
        host_id: str,
        zone: str,
        endpoint: Endpoint,
        admin_port: int,
        seeds: Iterable[Endpoint],
        clock: Clock,
        rng: random.Random,
        transport: MemberTransport,
        recorder: Recorder,
        cfg: MembershipSettings | None = None,
        on_change: Callable[[], None] = lambda: None,
        on_member: MemberCallback = ignore_member,
    ) -> None:
        self.unknown_states = 0
        self._clock = clock
        self._transport = transport
        self._recorder = recorder
        self._on_change = on_change
        self._on_member = on_member
        self._cfg = cfg or MembershipSettings()
        self._updates = UpdateQueue()
        self._last_tick_ms = clock.now_ms()
        self._last_received_ms = clock.now_ms()
        self._announce_due = False
        self._rng = rng
        self.health = LocalHealth(max_score=self._cfg.max_health_score)
        self.table = MemberTable()
        self._stalled = False
        own = Member(
            host_id=host_id,
            incarnation=int(clock.wall_ms()),
            state=MemberState.ALIVE,
            zone=zone,
            address=endpoint.address,
            peer_port=endpoint.port,
            admin_port=admin_port,
        )
        self._self_entry = SelfEntry(
            own=own,
            table=self.table,
            updates=self._updates,
            health=self.health,
            rng=rng,
            transport=transport,
            on_refuted=self.on_refuted,
            on_replaced=self.on_replaced,
        )
        self._probes = ProbeSystem(
            zone=zone,
            cfg=self._cfg,
            rng=rng,
            table=self.table,
            health=self.health,
            transport=transport,
            take_updates=self.take_updates,
            suspect=self.suspect,
        )
        self._suspicions = SuspicionSystem(
            cfg=self._cfg,
            table=self.table,
            health=self.health,
            declare_dead=self.declare_dead,
        )
        self._sync = SyncSystem(
            own_endpoint=endpoint,
            seeds=seeds,
            cfg=self._cfg,
            rng=rng,
            table=self.table,
            transport=transport,
            own=lambda: self.own,
            on_joined=self._self_entry.announce,
        )

    @property
    def own(self) -> Member:
        """Entry of this host."""
        return self._self_entry.own

    @property
    def replaced(self) -> bool:
        """Whether a newer host has taken the id of this one."""
        return self._self_entry.replaced

    @property
    def joined(self) -> bool:
        """
        Return whether another host has accepted this one, or there is none to join.

        :return: False until a table from another host contains this host
        """
        return self._sync.joined or self._sync.has_no_seeds

    @property
    def established(self) -> bool:
        """
        Return whether a newer entry with this host's id can only be a successor's.

        Until a host has joined, such an entry may also be its predecessor's: the
        incarnation is the start time, and the predecessor's clock may have been
        ahead. A host that was paused before it joined may have been replaced during
        the pause.

        :return: False until this host has joined or was paused
        """
        return self._sync.joined or self._stalled

    def views(self) -> Sequence[MemberView]:
        """
        List the live members.

        :return: members ordered by host id, this host included
        """
        found = [make_view(row) for row in self.table.live()]
        found.append(make_own_view(self.own))
        return sorted(found, key=lambda view: view.host_id)

    def add_seeds(self, seeds: Iterable[Endpoint]) -> None:
        """
        Add addresses through which the fleet can be reached.

        :param seeds: peer addresses, for example from the platform's host objects
        """
        self._sync.add_seeds(seeds)

    def set_seeds(self, seeds: Iterable[Endpoint]) -> None:
        """
        Replace the addresses through which the fleet can be reached.

        :param seeds: peer addresses; the address of this host is ignored
        """
        self._sync.set_seeds(seeds)

    def tick(self) -> None:
        """Run all systems; to be called every few tens of milliseconds."""
        now_ms = self._clock.now_ms()
        stalled = self.handle_stall(now_ms)
        self._last_tick_ms = now_ms
        if self.replaced or self.own.state == MemberState.LEFT:
            return
        if not stalled:
            self.check_isolation(now_ms)
            self._probes.tick(now_ms)
            self._suspicions.tick(now_ms)
        self._sync.tick(now_ms)

    def handle_stall(self, now_ms: float) -> bool:
        """
        Extend all deadlines if this process was paused since the last tick.

        :param now_ms: monotonic time
        :return: whether the process was paused
        """
        gap_ms = now_ms - self._last_tick_ms
        if gap_ms <= self._cfg.stall_ms:
            return False
        self._last_tick_ms = now_ms
        self._last_received_ms += gap_ms
        self._stalled = True
        self.health.degrade()
        self._probes.postpone(gap_ms)
        self._suspicions.postpone(gap_ms)
        return True

    def check_isolation(self, now_ms: float) -> None:
        """
        Declare all members dead when nothing has been received for a long time.

        Probes of one member after the other would take seconds to find that.

        :param now_ms: monotonic time
        """
        if now_ms - self._last_received_ms > self._cfg.isolation_ms:
            for row in list(self.table.live()):
                self.declare_dead(row)

    def on_link_broken(self, host_id: str) -> None:
        """
        Probe a member next, because its failed connection suggests that it died.

        :param host_id: host id of the member
        """
        row = self.table.rows.get(host_id)
        if row is not None and row.live and row.state is not MemberState.SUSPECT:
            self._probes.prioritize(host_id)

    def receive(self, sender: str, message: Any) -> None:
        """
        Handle a message of the membership protocol.

        :param sender: host id of the sender
        :param message: a message of :mod:`mangohatch.peer.messages.membership`
        """
        if self.replaced:
            return
        now_ms = self._clock.now_ms()
        self.handle_stall(now_ms)
        self._last_received_ms = now_ms
        if isinstance(message, Ping | Ack | MemberSync):
            self._drop_unknown_states(message)
            gossip = self._cfg.gossip_tables or not is_table(message)
            count = self.apply_updates(message.members, gossip=gossip)
            self._sync.on_joins(count, now_ms)
            if self._announce_due:
                self._announce_due = False
                self._self_entry.announce()
        row = self.table.rows.get(sender)
        if isinstance(message, Ack):
            self._probes.on_ack(message)
        elif isinstance(message, Nack):
            self._probes.on_nack(sender, message)
        elif row is None:
            return
        elif isinstance(message, Ping):
            self.answer_ping(row, message)
        elif isinstance(message, PingRequest):
            self._probes.on_ping_request(sender, message, now_ms)
        elif isinstance(message, MemberDigest):
            self._sync.on_digest(row, message, now_ms)
        elif isinstance(message, MemberSync):
            endpoint = reply_endpoint(row, message.members)
            self._sync.on_sync(row, endpoint, message, now_ms)

    def _drop_unknown_states(self, message: Ping | Ack | MemberSync) -> None:
        """Drop entries in states of a newer version, so that the others apply."""
        known = [one for one in message.members if one.state in KNOWN_STATES]
        self.unknown_states += len(message.members) - len(known)
        message.members = known

    def answer_ping(self, row: MemberRow, message: Ping) -> None:
        """
        Acknowledge a ping.

        When the table has a higher-ranked entry of the sender, for example a
        suspicion, the ack includes that entry, so that the sender can refute it.

        :param row: row of the sender
        :param message: the ping
        """
        endpoint = reply_endpoint(row, message.members)
        updates = self.take_updates(None)
        if any(
            (one.incarnation, RANKS[MemberState(one.state)]) < row.rank
            for one in message.members
            if one.host_id == row.host_id
        ):
            updates.append(row.to_message())
        self._transport.send_to(
            endpoint, Ack(sequence=message.sequence, members=updates)
        )

    def apply_updates(self, members: Iterable[Member], *, gossip: bool) -> int:
        """
        Apply received updates.

        :param members: entries of members, as received from another host
        :param gossip: whether to queue what changes for gossip
        :return: number of members that joined
        """
        count = 0
        for update in members:
            if update.host_id == self.own.host_id:
                self.apply_self_update(update)
            elif update.state == MemberState.DEAD and not self._cfg.trust_deaths:
                self.apply_untrusted_death(update)
            else:
                result = self.apply_update(update, gossip=gossip)
                count += result is UpdateResult.JOINED
        return count

    def apply_untrusted_death(self, update: Member) -> None:
        """
        Suspect a member that another host has declared dead, before it is dropped.

        A host that was cut off has declared all others dead. It must not remove them
        from the tables of the others when it is reachable again.

        :param update: entry of the member, as received from another host
        """
        row = self.table.rows.get(update.host_id)
        if row is None or not row.live or update.incarnation < row.incarnation:
            return
        if row.state is MemberState.SUSPECT:
            suspected_ms = self._clock.now_ms() - row.since_ms
            if suspected_ms >= self._cfg.suspicion_min_ms / 2:
                self.declare_dead(row)
        else:
            suspicion = row.to_message()
            suspicion.state = MemberState.SUSPECT
            self.apply_update(suspicion)

    def apply_update(self, update: Member, *, gossip: bool = True) -> UpdateResult:
        """
        Apply an update of another member, and queue what changed for gossip.

        An outdated update of a member that is dead or has left queues its entry
        again, because another host still has the old entry.

        :param update: entry of the member, as received from another host
        :param gossip: whether to queue a change for gossip
        :return: effect of the update
        """
        previous = self.table.rows.get(update.host_id)
        previous_state = previous.state if previous else None
        result = self.table.apply(update, now_ms=self._clock.now_ms())
        row = self.table.rows[update.host_id]
        if result is UpdateResult.OUTDATED and not row.live:
            self.queue_update(row)
        if result in (UpdateResult.JOINED, UpdateResult.UPDATED):
            if row is not previous:
                self._on_member(row, previous)
            if gossip:
                self._updates.put(row.to_message())
            if result is UpdateResult.JOINED or row.state is not previous_state:
                record_member(self._recorder, row, joined=result is UpdateResult.JOINED)
                self._on_change()
        return result

    def apply_self_update(self, update: Member) -> None:
        """
        Handle an update of this host, which is refuted if it is wrong.

        :param update: entry of this host, as received from another host
        """
        self._self_entry.handle_update(update, established=self.established)

    def on_refuted(self, update: Member) -> None:
        """
        Announce a refutation, and forget own verdicts after a refuted death.

        A host that others declared dead was itself cut off, so the deaths that it has
        declared are unfounded. Each such member is added again by any entry of it.

        :param update: the refuted update of this host
        """
        self._announce_due = self._cfg.alert_fanout > 0
        if self._cfg.trust_deaths or update.state != MemberState.DEAD:
            return
        for row in self.table.rows.values():
            if row.state is MemberState.DEAD:
                row.incarnation = 0
                self._updates.remove(row.host_id)

    def on_replaced(self) -> None:
        """Record that a newer host has taken the id of this one."""
        record_replaced(self._recorder, self.own.host_id)
        self._on_change()

    def suspect(self, row: MemberRow, accusers: Iterable[str]) -> None:
        """
        Suspect a member that did not acknowledge a probe.

        :param row: row of the member
        :param accusers: other hosts whose probes of it have also failed
        """
        update = row.to_message()
        update.state = MemberState.SUSPECT
        update.accusers = sorted({self.own.host_id, *row.accusers, *accusers})
        is_new = row.state is not MemberState.SUSPECT
        self.apply_update(update)
        if is_new:
            self.alert(row, update)

    def alert(self, row: MemberRow, update: Member) -> None:
        """
        Tell the suspect and some members of a suspicion, ahead of gossip.

        :param row: row of the suspect
        :param update: entry of the suspect
        """
        fanout = self._cfg.alert_fanout
        if not fanout:
            return
        others = [one for one in self.table.live() if one.host_id != row.host_id]
        chosen = self._rng.sample(others, min(fanout, len(others)))
        message = MemberSync(members=[self.own, update])
        for one in [row, *chosen]:
            self._transport.send_to(one.endpoint, message)

    def declare_dead(self, row: MemberRow) -> None:
        """
        Declare a suspect dead.

        :param row: row of the suspect
        """
        update = row.to_message()
        update.state = MemberState.DEAD
        update.accusers = []
        self.apply_update(update)

    def set_leaving(self) -> None:
        """Announce that this host takes no new work and will leave."""
        self._self_entry.set_leaving()

    def set_left(self) -> None:
        """Announce that this host has left; it sends nothing afterwards."""
        self._self_entry.set_left()

    def set_config_revision(self, revision: int) -> None:
        """
        Set the active configuration revision in this host's entry, for others to see.

        :param revision: store revision of the active configuration
        """
        self.own.config_revision = revision

    def take_updates(self, target: MemberRow | None) -> list[Member]:
        """
        Take the entries for one message: this host first, then updates.

        A ping to a suspect carries the suspicion instead of updates, so that the
        suspect can refute it at once (the buddy system of Lifeguard).

        :param target: receiver of a ping; None for an ack
        :return: entries of members
        """
        if target is not None and target.state is MemberState.SUSPECT:
            return [self.own, target.to_message()]
        fleet_size = len(self.table.rows) + 1
        updates = self._updates.take(
            self._cfg.updates_per_message, fleet_size=fleet_size
        )
        return [self.own, *updates]

    def queue_update(self, row: MemberRow) -> None:
        """
        Queue the entry of a member for gossip.

        :param row: row of the member
        """
        self._updates.put(row.to_message())
