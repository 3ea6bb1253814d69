"""Choice by slot leases: late binding, coordinated by brokers."""

import random
from typing import Any

from mangohatch.clock import Clock
from mangohatch.core.admission import max_wait_ms
from mangohatch.core.call import Call, Grant, Report, Result
from mangohatch.core.choice.base import Chooser
from mangohatch.core.choice.unleased import (
    BUDGET_EXHAUSTED_LINGER_MS,
    UNLEASED_DELAY_MS,
    UnleasedGate,
)
from mangohatch.core.health import Health
from mangohatch.core.measuring import BudgetGates, MeasuringCounter
from mangohatch.core.measuring.size import size_of
from mangohatch.core.slots import Broker, Holder, ShardMap, SpeedTable
from mangohatch.core.slots.broker import SETTLE_MS
from mangohatch.core.slots.holder import HeldLease
from mangohatch.core.slots.shards import parse_shard_name
from mangohatch.core.slots.table import ShardTable
from mangohatch.core.tables import ServiceRow, Tables, UpstreamRow
from mangohatch.core.timers import Timers
from mangohatch.errors import NoUpstream
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.slots import SlotGrant, SlotRequest, SlotReturn

__all__ = ["TokenChooser"]

REQUEST_DELAY_MS = 1.5
GRANT_TIMEOUT_MS = 4.0
TIMER_MARGIN_MS = 1.0


class TokenChooser(Chooser):
    """
    Places calls by the leases that this host holds, and requests more from the broker.

    While the broker is silent or the measuring budget is exhausted, calls may be
    placed without leases. Such a call goes to the one of two random upstreams that
    has fewer own requests in flight.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        health: Health,
        tables: Tables,
        bus: PeerBus,
        timers: Timers,
        counters: dict[str, MeasuringCounter] | None = None,
    ) -> None:
        super().__init__(clock=clock, rng=rng, health=health)
        self._tables = tables
        self._bus = bus
        self._timers = timers
        self._shards = ShardMap(host_id=bus.host_id)
        self._zones: dict[str, str] = {}
        self.counters = counters if counters is not None else {}
        self._gates = BudgetGates(clock=clock, counters=self.counters)
        self._speeds = ShardTable(make=lambda shard: SpeedTable(clock=clock))
        self._unleased = ShardTable(make=lambda shard: UnleasedGate(clock=clock))
        self.holders = ShardTable(make=self._make_holder)
        self.brokers: dict[str, Broker] = {}
        self._service_count = 0
        self._sequence = 0
        self._scheduled: set[str] = set()
        self._update_members()
        bus.subscribe(SlotRequest, self._handle_request)
        bus.subscribe(SlotGrant, self._handle_grant)
        bus.subscribe(SlotReturn, self._handle_return)

    def choose(self, service: ServiceRow, call: Call) -> Grant | None:
        shard = self._shards.home(service)
        holder = self.holders[shard]
        held = self._pick(service, holder, call)
        if held is not None:
            holder.use(held)
            row = service.upstreams[held.upstream]
            return self.make_grant(call, row, held.token)
        gate = self._unleased[shard]
        if not gate.allows(service, call, len(self._zones)):
            self._check_open(service, call)
            return None
        unleased_row = self._choose_unleased(service, call)
        if unleased_row is None:
            return None
        gate.start()
        return self.make_grant(call, unleased_row)

    def _check_open(self, service: ServiceRow, call: Call) -> None:
        if not any(self.is_open(row, call) for row in service.upstreams.values()):
            detail = f"service {call.service} has no upstream for new work"
            raise NoUpstream(detail)

    def wait(self, service: ServiceRow, call: Call, waiting: int) -> bool:
        shard = self._shards.home(service)
        holder = self.holders[shard]
        if call.isolated:
            self._send_request(service, shard, call, count=1)
        elif waiting > holder.pending(service.spec.max_queue_wait_ms):
            self._schedule_request(service, shard, call)
        gate = self._unleased[shard]
        if gate.budget_exhausted:
            self._schedule_fallback(service)
        return not holder.idle and not gate.broker_silent

    def release(self, service: ServiceRow, grant: Grant, report: Report) -> None:
        shard = self._shards.home(service)
        if report.result is Result.OK:
            self._speeds[shard].record(grant.upstream.name, report.latency_ms)
        if not grant.token:
            self._unleased[shard].end()
        else:
            self.holders[shard].end_use(grant.token, report)

    def idle(self, service: ServiceRow) -> None:
        self.holders[self._shards.home(service)].return_idle()

    def tick(self) -> None:
        changed = self._update_members()
        if changed or len(self._tables.services) != self._service_count:
            self._create_brokers()
        for holder in list(self.holders.values()):
            holder.renew(force=changed)
            if not self._unleased[holder.shard].budget_exhausted:
                holder.min_linger_ms = 0.0
        for shard, broker in list(self.brokers.items()):
            service = self._tables.services.get(parse_shard_name(shard).service)
            if service is None or self._shards.broker(shard) != self._bus.host_id:
                del self.brokers[shard]
                continue
            broker.sync(service)
            broker.tick()

    def _create_brokers(self) -> None:
        self._service_count = len(self._tables.services)
        for service in self._tables.services.values():
            for shard in self._shards.shards(service):
                if self._shards.broker(shard) == self._bus.host_id:
                    self._broker(shard)

    def record_request(self, service: ServiceRow) -> None:
        self._gates.find(service).record_request()

    def _pick(
        self, service: ServiceRow, holder: Holder, call: Call
    ) -> HeldLease | None:
        best, best_ms = None, 0.0
        now_ms = self._clock.now_ms()
        speeds = self._speeds[holder.shard]
        for held in holder.idle.values():
            row = service.upstreams.get(held.upstream)
            if held.isolated is not call.isolated:
                continue
            if row is None or not self.is_open(row, call):
                continue
            excess_ms = speeds.excess_ms(held.upstream, now_ms)
            if best is None or excess_ms < best_ms:
                best, best_ms = held, excess_ms
        return best

    def _schedule_request(self, service: ServiceRow, shard: str, call: Call) -> None:
        # The request to the broker is delayed, because a lease in use may end first,
        # and calls that arrive in the meantime can share the request.
        local = self._shards.broker(shard) == self._bus.host_id
        holder = self.holders[shard]
        unanswered = holder.requested and holder.last_grant_ms < holder.requested_ms
        if local or not (holder.leases or unanswered):
            self._request_slots(service, shard, call)
        elif shard not in self._scheduled:
            self._scheduled.add(shard)
            self._timers.call_later(
                REQUEST_DELAY_MS, lambda: self._send_scheduled_request(shard, call)
            )

    def _send_scheduled_request(self, shard: str, call: Call) -> None:
        self._scheduled.discard(shard)
        service = self._tables.services.get(parse_shard_name(shard).service)
        if service is None:
            return
        waiting = self._count_waiting(service.spec.name)
        if waiting > self.holders[shard].pending(service.spec.max_queue_wait_ms):
            self._request_slots(service, shard, call)

    def _request_slots(self, service: ServiceRow, shard: str, call: Call) -> None:
        holder = self.holders[shard]
        holder.requested = self._count_waiting(service.spec.name)
        holder.requested_ms = self._clock.now_ms()
        if not self._send_request(service, shard, call, count=holder.requested):
            holder.requested = 0
            self._unleased[shard].record_denial()
            holder.min_linger_ms = BUDGET_EXHAUSTED_LINGER_MS
            self._schedule_fallback(service)

    def _send_request(
        self, service: ServiceRow, shard: str, call: Call, *, count: int
    ) -> bool:
        self._sequence += 1
        now_ms = self._clock.now_ms()
        message = SlotRequest(
            shard=shard,
            sequence=self._sequence,
            count=count,
            wait_ms=max_wait_ms(service.spec, call, now_ms),
            avoid=list(call.avoid),
            isolated=call.isolated,
        )
        broker = self._shards.broker(shard)
        if broker == self._bus.host_id:
            self._broker(shard).handle_request(broker, message)
            return True
        gate = self._gates.find(service)
        if call.isolated:
            gate.charge_call(size_of(message))
        elif not gate.spend_call(size_of(message)):
            return False
        self._bus.send(broker, message)
        self._timers.call_later(
            GRANT_TIMEOUT_MS, lambda: self._check_answer(shard, now_ms)
        )
        return True

    def _check_answer(self, shard: str, requested_ms: float) -> None:
        holder = self.holders[shard]
        if holder.last_grant_ms >= requested_ms:
            return
        holder.requested = 0
        self._unleased[shard].record_silence()
        self._available(parse_shard_name(shard).service)

    def _schedule_fallback(self, service: ServiceRow) -> None:
        name = service.spec.name
        self._timers.call_later(UNLEASED_DELAY_MS, lambda: self._available(name))

    def _choose_unleased(self, service: ServiceRow, call: Call) -> UpstreamRow | None:
        rows = self.candidates(service, call)
        first, second = self._rng.choice(rows), self._rng.choice(rows)
        row = first if first.in_flight <= second.in_flight else second
        return row if row.in_flight < row.slots else None

    def _update_members(self) -> bool:
        members = self._bus.members()
        self._zones = {view.host_id: view.zone for view in members}
        return self._shards.update(members)

    def _make_holder(self, shard: str) -> Holder:
        return Holder(
            shard=shard,
            clock=self._clock,
            timers=self._timers,
            send=self._send_return,
        )

    def _broker(self, shard: str) -> Broker:
        broker = self.brokers.get(shard)
        if broker is None:
            broker = self.brokers[shard] = Broker(
                shard=shard,
                host_id=self._bus.host_id,
                clock=self._clock,
                rng=self._rng,
                health=self._health,
                speeds=self._speeds[shard],
                send=self._send_grant,
                zone_of=lambda host_id: self._zones.get(host_id, ""),
                timers=self._timers,
            )
            broker.sync(self._tables.services[parse_shard_name(shard).service])
            self._timers.call_later(SETTLE_MS + TIMER_MARGIN_MS, broker.tick)
        return broker

    def _charge(self, shard: str, message: Any) -> None:
        service = self._tables.services.get(parse_shard_name(shard).service)
        if service is not None:
            self._gates.find(service).spend_message(size_of(message))

    def _send_grant(self, host_id: str, message: SlotGrant) -> None:
        if host_id == self._bus.host_id:
            self._handle_grant(host_id, message)
            return
        self._charge(message.shard, message)
        self._bus.send(host_id, message)

    def _send_return(self, shard: str, message: SlotReturn) -> None:
        message.waiting = self._count_waiting(parse_shard_name(shard).service)
        broker = self._shards.broker(shard)
        if broker == self._bus.host_id:
            self._broker(shard).handle_return(broker, message)
            return
        self._charge(shard, message)
        self._bus.send(broker, message)

    def _handle_request(self, sender: str, message: SlotRequest) -> None:
        if parse_shard_name(message.shard).service in self._tables.services:
            self._broker(message.shard).handle_request(sender, message)

    def _handle_return(self, sender: str, message: SlotReturn) -> None:
        if parse_shard_name(message.shard).service in self._tables.services:
            self._broker(message.shard).handle_return(sender, message)

    def _handle_grant(self, sender: str, message: SlotGrant) -> None:
        shard = message.shard
        name = parse_shard_name(shard).service
        if name not in self._tables.services:
            return
        holder = self.holders[shard]
        gate = self._unleased[shard]
        gate.record_answer()
        holder.handle_grant(message)
        self._available(name)
        holder.return_idle()
