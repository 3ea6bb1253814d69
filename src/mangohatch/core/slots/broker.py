"""The broker of one shard, which leases slots and sets how long leases stay idle."""

import random
from collections import OrderedDict, deque
from collections.abc import Callable

from mangohatch.clock import Clock
from mangohatch.core.call import Report, Result
from mangohatch.core.health import Health
from mangohatch.core.slots.isolation import Isolation
from mangohatch.core.slots.ledger import Lease, Ledger, SlotRow
from mangohatch.core.slots.recall import IDLE_LINGER_MS, Demand, Recaller
from mangohatch.core.slots.shards import shard_rows
from mangohatch.core.slots.speed import SpeedTable
from mangohatch.core.statement import UpstreamStatement
from mangohatch.core.tables import ServiceRow, UpstreamRow, UpstreamState
from mangohatch.core.timers import Timers
from mangohatch.peer.messages.slots import SlotGrant, SlotRequest, SlotReturn, SlotUse

__all__ = ["Broker", "Sender"]

LEASE_MS = 1_000.0
SETTLE_MS = 12.0
LINGER_START_MS = 4.0
LINGER_MIN_MS = 0.25
LINGER_MAX_MS = 100.0
LINGER_SHRINK = 0.9
LINGER_GROW = 1.03
LOW_SHARE = 0.5
LINGER_TICK_GROW = 1.1
FREE_SHARE = 0.5
RECALL_INTERVAL_MS = 2.0

Sender = Callable[[str, SlotGrant], None]


class Broker:
    """
    Grants the free slots of a shard to requesting hosts, oldest demand first.

    The state of a broker is soft. A new broker waits :data:`SETTLE_MS` for the
    holders to report their leases. Two brokers at the same time, or a broker that
    has lost its leases, make routing worse but break nothing else.
    """

    def __init__(
        self,
        *,
        shard: str,
        host_id: str,
        clock: Clock,
        rng: random.Random,
        health: Health,
        speeds: SpeedTable,
        send: Sender,
        zone_of: Callable[[str], str],
        timers: Timers,
    ) -> None:
        self.shard = shard
        self._host_id = host_id
        self._clock = clock
        self._health = health
        self._speeds = speeds
        self._send = send
        self._zone_of = zone_of
        self._timers = timers
        self._recall_scheduled = False
        self._service: ServiceRow | None = None
        self._demands: OrderedDict[tuple[str, bool], Demand] = OrderedDict()
        self._outbox: deque[tuple[str, SlotGrant]] = deque()
        self._delivering = False
        self.linger_ms = LINGER_START_MS
        self.ledger = Ledger(rng=rng, speeds=speeds)
        self._recaller = Recaller(ledger=self.ledger, zone_of=zone_of, post=self._post)
        self._isolation = Isolation(ledger=self.ledger, recall=self._recall_lease)
        self.settled_ms = clock.now_ms() + SETTLE_MS

    def sync(self, service: ServiceRow) -> None:
        """
        Update the ledger after a change of the service.

        :param service: the service with its current configuration
        """
        if service is not self._service:
            self._service = service
            self.ledger.sync(shard_rows(service, self.shard))

    def handle_request(self, holder: str, message: SlotRequest) -> None:
        """
        Grant the requested slots, and store the demand for those not granted.

        :param holder: host id of the sender
        :param message: the request
        """
        now_ms = self._clock.now_ms()
        demand = Demand(
            holder=holder,
            count=message.count,
            avoid=message.avoid,
            until_ms=now_ms + message.wait_ms,
            isolated=message.isolated,
        )
        self._demands[demand.key] = demand
        grant = self._grant(demand, now_ms)
        if demand.isolated:
            if not demand.count:
                del self._demands[demand.key]
        elif demand.count:
            self.linger_ms = max(LINGER_MIN_MS, self.linger_ms * LINGER_SHRINK)
            self._recall(demand, now_ms)
        else:
            del self._demands[demand.key]
            self.linger_ms = min(LINGER_MAX_MS, self.linger_ms * LINGER_GROW)
        grant.sequence = message.sequence
        self._post(holder, grant)
        self._deliver()

    def handle_return(self, holder: str, message: SlotReturn) -> None:
        """
        Process reports of attempts, ends of leases and renewals.

        :param holder: host id of the sender
        :param message: reports, ended leases and renewed leases
        """
        now_ms = self._clock.now_ms()
        for use in message.uses:
            self._handle_use(holder, use)
        for upstream, token in zip(message.held, message.held_tokens, strict=True):
            self._renew(holder, upstream, token, now_ms)
        demand = self._demands.get((holder, False))
        if demand is not None:
            demand.count = min(demand.count, message.waiting)
            if not demand.count:
                del self._demands[demand.key]
        self._serve()
        self._deliver()

    def _serve(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms < self.settled_ms:
            return
        for demand in self._order_demands(now_ms):
            grant = self._grant(demand, now_ms)
            if not demand.count:
                del self._demands[demand.key]
            if grant.tokens:
                self._post(demand.holder, grant)

    def _order_demands(self, now_ms: float) -> list[Demand]:
        for key, demand in list(self._demands.items()):
            if demand.until_ms <= now_ms:
                del self._demands[key]
                self._isolation.end_reservation(key)
        demands = list(self._demands.values())
        if len(demands) < 2:
            return demands
        zone = self.ledger.first_zone()
        held = self.ledger.held
        min_held = LOW_SHARE * len(self.ledger.leases) / max(1, len(held))

        def is_remote(demand: Demand) -> bool:
            if held.get(demand.holder, 0) < min_held:
                return False
            return self._zone_of(demand.holder) != zone

        return sorted(demands, key=is_remote)

    def _deliver(self) -> None:
        # Sending a grant to this host may call this method again before it returns.
        if self._delivering:
            return
        self._delivering = True
        try:
            while self._outbox:
                self._send(*self._outbox.popleft())
        finally:
            self._delivering = False

    def tick(self) -> None:
        """Expire leases and limit them by the health of the upstreams."""
        self.ledger.expire(self._clock.now_ms())
        for name, slot in self.ledger.slots.items():
            share = self._health.capacity(slot.row)
            limit = max(1, int(slot.row.slots * share)) if share > 0 else 0
            self.ledger.set_limit(name, limit)
        free_share = self.ledger.free_count() / max(1, len(self.ledger.slots))
        if free_share > FREE_SHARE and not self._demands:
            self.linger_ms = min(LINGER_MAX_MS, self.linger_ms * LINGER_TICK_GROW)
        self._serve()
        self._deliver()

    def _handle_use(self, holder: str, use: SlotUse) -> None:
        slot = self.ledger.slots.get(use.upstream)
        if use.freed:
            self.ledger.end(use.token)
        if slot is None or not use.result:
            return
        if use.draining:
            slot.row.state = UpstreamState.DRAINING
        result = Result(use.result)
        if holder != self._host_id:
            if result is Result.OK:
                self._speeds.record(use.upstream, use.latency_ms)
            report = Report(
                result=result,
                latency_ms=use.latency_ms,
                statement=UpstreamStatement(leaving=use.draining),
            )
            self._health.observe(slot.row, report, holder)

    def _renew(self, holder: str, upstream: str, token: int, now_ms: float) -> None:
        lease = self.ledger.leases.get(token)
        if lease is not None:
            lease.until_ms = now_ms + LEASE_MS
        elif upstream in self.ledger.slots:
            self.ledger.adopt(
                Lease(
                    token=token,
                    upstream=upstream,
                    holder=holder,
                    until_ms=now_ms + LEASE_MS,
                )
            )

    def _grant(self, demand: Demand, now_ms: float) -> SlotGrant:
        grant = SlotGrant(isolated=demand.isolated)
        zone = self._zone_of(demand.holder)
        while demand.count and now_ms >= self.settled_ms:
            slot = self._find(demand, zone, now_ms)
            if slot is None:
                break
            lease = self.ledger.lease(
                slot,
                holder=demand.holder,
                until_ms=now_ms + LEASE_MS,
                weight=slot.row.slots if demand.isolated else 1,
            )
            demand.count -= 1
            grant.upstreams.append(lease.upstream)
            grant.tokens.append(lease.token)
        grant.waiting = demand.count
        return grant

    def _find(self, demand: Demand, zone: str, now_ms: float) -> SlotRow | None:
        if demand.isolated:
            return self._isolation.find(
                demand.key, avoid=demand.avoid, is_open=self._is_open
            )
        return self.ledger.find(
            zone=zone, avoid=demand.avoid, is_open=self._is_open, now_ms=now_ms
        )

    def _recall_lease(self, lease: Lease) -> None:
        self._post(lease.holder, SlotGrant(recalled=[lease.token]))

    def _post(self, holder: str, grant: SlotGrant) -> None:
        grant.shard = self.shard
        grant.linger_ms = self.linger_ms
        self._outbox.append((holder, grant))

    def _recall(self, demand: Demand, now_ms: float) -> None:
        lingering = self.linger_ms > IDLE_LINGER_MS
        self._recaller.recall(
            demand, now_ms=now_ms, lingering=lingering, waiting=len(self._demands)
        )
        if lingering and not self._recall_scheduled:
            self._recall_scheduled = True
            self._timers.call_later(RECALL_INTERVAL_MS, self._recall_again)

    def _recall_again(self) -> None:
        self._recall_scheduled = False
        now_ms = self._clock.now_ms()
        waiting = [
            demand
            for demand in self._demands.values()
            if demand.until_ms > now_ms and not demand.isolated
        ]
        if not waiting:
            return
        self.linger_ms = max(LINGER_MIN_MS, self.linger_ms * LINGER_SHRINK)
        held = self.ledger.held
        fewest_held = min(waiting, key=lambda demand: held.get(demand.holder, 0))
        self._recall(fewest_held, now_ms)
        self._deliver()

    def _is_open(self, row: UpstreamRow) -> bool:
        if row.state not in (UpstreamState.ACTIVE, UpstreamState.WARMING):
            return False
        if row.zones.is_evacuated(row.zone):
            return False
        return self._health.eligible(row, None)
