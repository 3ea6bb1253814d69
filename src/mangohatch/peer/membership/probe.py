"""Probing of random members, directly and through others."""

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
    """A probe of this host under way."""

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
    """A probe under way on behalf of another host."""

    requester: str
    sequence: int
    until_ms: float


@dataclass(slots=True, kw_only=True)
class ProbeRound:
    """Members of one kind in a shuffled order, each probed once per round."""

    remaining: deque[str] = field(default_factory=deque)


class ProbeSystem:
    """Probes one member per period and reports those that do not answer."""

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
        self._probe: Probe | None = None
        self._relays: dict[int, Relay] = {}
        self._sequence = 0
        self._next_ms = 0.0

    def tick(self, now_ms: float) -> None:
        """
        Advance probes and start a new one when it is due.

        :param now_ms: monotonic time
        """
        self.expire_relays(now_ms)
        if self._probe is not None:
            self.advance(self._probe, now_ms)
        if self._probe is None and (now_ms >= self._next_ms or self._urgent):
            self.start(now_ms)

    def postpone(self, delta_ms: float) -> None:
        """
        Extend all deadlines after a pause of this process.

        :param delta_ms: length of the pause
        """
        if self._probe is not None:
            self._probe.direct_until_ms += delta_ms
            self._probe.until_ms += delta_ms
        for relay in self._relays.values():
            relay.until_ms += delta_ms

    def prioritize(self, host_id: str) -> None:
        """
        Probe a member next, out of turn.

        :param host_id: a member whose link broke
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
        self._probe = Probe(
            sequence=self.next_sequence(),
            target=row.host_id,
            incarnation=row.incarnation,
            direct_until_ms=now_ms + wait_ms,
            until_ms=now_ms + 3 * wait_ms,
        )
        self.send_ping(row, self._probe.sequence)

    def advance(self, probe: Probe, now_ms: float) -> None:
        """
        Go over to indirect probing, or give the probe up.

        :param probe: the probe under way
        :param now_ms: monotonic time
        """
        if now_ms >= probe.until_ms:
            self.fail(probe)
        elif now_ms >= probe.direct_until_ms and not probe.indirect:
            probe.indirect = True
            self.probe_indirectly(probe)

    def probe_indirectly(self, probe: Probe) -> None:
        """
        Ask other members to probe the target.

        :param probe: the probe under way
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
        Give a probe up.

        :param probe: the probe without answer
        """
        self._probe = None
        if len(probe.nacks) < probe.expected_nacks:
            self._health.degrade()
        row = self._table.rows.get(probe.target)
        if row is not None and row.live and row.incarnation == probe.incarnation:
            self._suspect(row, probe.nacks)

    def expire_relays(self, now_ms: float) -> None:
        """
        Tell requesters of relayed probes that got no answer.

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
        Take an answer to an own or a relayed probe.

        :param message: the answer
        """
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            row = self._table.rows.get(relay.requester)
            if row is not None:
                self._transport.send_to(row.endpoint, Ack(sequence=relay.sequence))
        elif self._probe is not None and self._probe.sequence == message.sequence:
            self._probe = None
            self._health.improve()

    def on_nack(self, sender: str, message: Nack) -> None:
        """
        Note a helper that got no answer either.

        :param sender: the helper
        :param message: its statement
        """
        if self._probe is not None and self._probe.sequence == message.sequence:
            self._probe.nacks.append(sender)

    def on_ping_request(self, sender: str, message: PingRequest, now_ms: float) -> None:
        """
        Probe a member on behalf of another host.

        :param sender: the host that asks
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
        Send one probe with news.

        :param row: the member to probe
        :param sequence: number of the probe
        """
        ping = Ping(sequence=sequence, members=self._take_updates(row))
        self._transport.send_to(row.endpoint, ping)

    def next_sequence(self) -> int:
        """
        Number a probe.

        :return: a number that this host uses once
        """
        self._sequence += 1
        return self._sequence

    def choose_target(self) -> MemberRow | None:
        """
        Choose the member to probe next, mostly from the own availability zone.

        :return: the member, None when there is none
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
        Take the next member of a ring, refilling it after a round.

        :param same_zone: whether the ring is that of the own availability zone
        :return: the member, None when the ring is empty
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
