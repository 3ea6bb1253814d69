"""Failure detection by direct and indirect probes of random members."""

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from mangohatch.peer.membership.health import LocalHealth
from mangohatch.peer.membership.settings import MembershipSettings
from mangohatch.peer.membership.table import MemberRow, MemberTable
from mangohatch.peer.membership.transport import MemberTransport
from mangohatch.peer.messages.membership import Ack, Member, Nack, Ping, PingRequest

__all__ = ["ProbeSystem"]

TakeUpdates = Callable[[MemberRow | None], list[Member]]
SuspectCallback = Callable[[MemberRow, Iterable[str]], None]


@dataclass(slots=True, kw_only=True)
class Probe:
    """A check by this host, still in progress, of whether another host is alive."""

    sequence: int
    target: str
    incarnation: int
    direct_until_ms: float
    until_ms: float
    expected_nacks: int = 0
    nacks: list[str] = field(default_factory=list)
    indirect: bool = False


@dataclass(slots=True, kw_only=True)
class Relay:
    """A probe in progress on behalf of another host."""

    requester: str
    sequence: int
    until_ms: float


@dataclass(slots=True, kw_only=True)
class ProbeRound:
    """Members not yet probed in this round, in shuffled order."""

    remaining: deque[str] = field(default_factory=deque)


class ProbeSystem:
    """Probes one member per protocol period and reports those that do not answer."""

    def __init__(
        self,
        *,
        zone: str,
        cfg: MembershipSettings,
        rng: random.Random,
        table: MemberTable,
        health: LocalHealth,
        transport: MemberTransport,
        take_updates: TakeUpdates,
        suspect: SuspectCallback,
    ) -> None:
        self._zone = zone
        self._cfg = cfg
        self._rng = rng
        self._table = table
        self._health = health
        self._transport = transport
        self._take_updates = take_updates
        self._suspect = suspect
        self._same_zone_round = ProbeRound()
        self._other_zones_round = ProbeRound()
        self._urgent: deque[str] = deque()
        self._probes: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}
        self._sequence = 0
        self._next_ms = 0.0

    def tick(self, now_ms: float) -> None:
        """
        Advance probes and start a new one when it is due.

        :param now_ms: monotonic time
        """
        self.expire_relays(now_ms)
        ack_missing = any(
            [self.advance(probe, now_ms) for probe in list(self._probes.values())]
        )
        free = self._cfg.concurrent_probes - len(self._probes)
        if ack_missing:
            # The missing ack may be the first of many.
            for _ in range(free):
                self.start(now_ms)
        elif free > 0 and (now_ms >= self._next_ms or self._urgent):
            self.start(now_ms)

    def postpone(self, delta_ms: float) -> None:
        """
        Extend all deadlines after a pause of this process.

        :param delta_ms: length of the pause in milliseconds
        """
        for probe in self._probes.values():
            probe.direct_until_ms += delta_ms
            probe.until_ms += delta_ms
        for relay in self._relays.values():
            relay.until_ms += delta_ms

    def prioritize(self, host_id: str) -> None:
        """
        Probe a member next, ahead of the current round.

        :param host_id: host id of a member whose connection has failed
        """
        if host_id not in self._urgent:
            self._urgent.append(host_id)

    def start(self, now_ms: float) -> None:
        """
        Start the next probe.

        :param now_ms: monotonic time
        """
        row = self.choose_target()
        self._next_ms = now_ms + self._cfg.probe_period_ms * self._rng.uniform(0.9, 1.1)
        if row is None:
            return
        wait_ms = self._cfg.ack_timeout_ms * self._health.multiplier
        probe = Probe(
            sequence=self.next_sequence(),
            target=row.host_id,
            incarnation=row.incarnation,
            direct_until_ms=now_ms + wait_ms,
            until_ms=now_ms + 3 * wait_ms,
        )
        self._probes[probe.sequence] = probe
        self.send_ping(row, probe.sequence)

    def advance(self, probe: Probe, now_ms: float) -> bool:
        """
        Start indirect probes after the ack timeout, or fail the probe at its end.

        :param probe: the probe in progress
        :param now_ms: monotonic time
        :return: whether the direct ack has just been found missing
        """
        if now_ms >= probe.until_ms:
            self.fail(probe)
            return False
        if now_ms < probe.direct_until_ms or probe.indirect:
            return False
        probe.indirect = True
        self.probe_indirectly(probe)
        return True

    def probe_indirectly(self, probe: Probe) -> None:
        """
        Request probes of the target from other members, and ping it again.

        :param probe: the probe in progress
        """
        others = [row for row in self._table.live() if row.host_id != probe.target]
        count = min(self._cfg.indirect_probes, len(others))
        probe.expected_nacks = count
        request = PingRequest(sequence=probe.sequence, target=probe.target)
        for row in self._rng.sample(others, count):
            self._transport.send_to(row.endpoint, request)
        target = self._table.rows.get(probe.target)
        if target is not None:
            self.send_ping(target, probe.sequence)

    def fail(self, probe: Probe) -> None:
        """
        End a probe without acknowledgement and report its target as suspect.

        Each helper that cannot reach the target sends a nack. A missing nack
        indicates that this host itself is slow or badly connected.

        :param probe: the probe that was not acknowledged
        """
        del self._probes[probe.sequence]
        if len(probe.nacks) < probe.expected_nacks:
            self._health.degrade()
        row = self._table.rows.get(probe.target)
        if row is not None and row.live and row.incarnation == probe.incarnation:
            self._suspect(row, probe.nacks)

    def expire_relays(self, now_ms: float) -> None:
        """
        Send a nack for each relayed probe that was not acknowledged in time.

        :param now_ms: monotonic time
        """
        for sequence in [
            sequence
            for sequence, relay in self._relays.items()
            if now_ms >= relay.until_ms
        ]:
            relay = self._relays.pop(sequence)
            row = self._table.rows.get(relay.requester)
            if row is not None:
                self._transport.send_to(row.endpoint, Nack(sequence=relay.sequence))

    def on_ack(self, message: Ack) -> None:
        """
        Handle the acknowledgement of this host's probe or of a relayed one.

        :param message: the acknowledgement
        """
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            row = self._table.rows.get(relay.requester)
            if row is not None:
                self._transport.send_to(row.endpoint, Ack(sequence=relay.sequence))
        elif self._probes.pop(message.sequence, None) is not None:
            self._health.improve()

    def on_nack(self, sender: str, message: Nack) -> None:
        """
        Record that an indirect probe was not acknowledged either.

        :param sender: host id of the member that probed on behalf of this host
        :param message: the nack
        """
        probe = self._probes.get(message.sequence)
        if probe is not None:
            probe.nacks.append(sender)

    def on_ping_request(self, sender: str, message: PingRequest, now_ms: float) -> None:
        """
        Probe a member on behalf of another host.

        :param sender: host id of the requester
        :param message: its request
        :param now_ms: monotonic time
        """
        row = self._table.rows.get(message.target)
        if row is None:
            return
        sequence = self.next_sequence()
        self._relays[sequence] = Relay(
            requester=sender,
            sequence=message.sequence,
            until_ms=now_ms + self._cfg.ack_timeout_ms,
        )
        self.send_ping(row, sequence)

    def send_ping(self, row: MemberRow, sequence: int) -> None:
        """
        Send one ping with piggybacked updates.

        :param row: the member to probe
        :param sequence: sequence number of the probe
        """
        ping = Ping(sequence=sequence, members=self._take_updates(row))
        self._transport.send_to(row.endpoint, ping)

    def next_sequence(self) -> int:
        """
        Return a sequence number for a probe.

        :return: a number that this host uses only once
        """
        self._sequence += 1
        return self._sequence

    def choose_target(self) -> MemberRow | None:
        """
        Choose the member to probe next, usually from this host's availability zone.

        :return: the member; None when no member is live
        """
        while self._urgent:
            row = self._table.rows.get(self._urgent.popleft())
            if row is not None and row.live:
                return row
        same_zone = self._rng.random() < self._cfg.same_zone_share
        first, second = (True, False) if same_zone else (False, True)
        return self.next_target(same_zone=first) or self.next_target(same_zone=second)

    def next_target(self, *, same_zone: bool) -> MemberRow | None:
        """
        Take the next member of a round, and start a new round after the last one.

        :param same_zone: True for members of this host's availability zone, False
            for those of all other zones
        :return: the member; None when no such member is live
        """
        probe_round = self._same_zone_round if same_zone else self._other_zones_round
        for _ in range(2):
            while probe_round.remaining:
                row = self._table.rows.get(probe_round.remaining.popleft())
                if row is not None and row.live:
                    return row
            ids = sorted(
                row.host_id
                for row in self._table.live()
                if (row.zone == self._zone) is same_zone
            )
            self._rng.shuffle(ids)
            probe_round.remaining.extend(ids)
        return None
