"""Choice by leases of slots: late binding, coordinated by brokers."""

import random
from typing import Any

from mangohatch.clock import Clock
from mangohatch.core.admission import max_wait_ms
from mangohatch.core.call import Call, Grant, Report, Result
from mangohatch.core.choice.base import Chooser
from mangohatch.core.health import Health
from mangohatch.core.measuring import BudgetGate, MeasuringCounter
from mangohatch.core.measuring.size import size_of
from mangohatch.core.slots import Broker, Holder, ShardMap, SpeedTable
from mangohatch.core.slots.broker import SETTLE_MS
from mangohatch.core.slots.holder import Held
from mangohatch.core.slots.shards import list_shards, split_shard
from mangohatch.core.tables import ServiceRow, Tables
from mangohatch.core.timers import Timers
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages import SlotGrant, SlotRequest, SlotReturn

__all__ = ["TokenChooser"]

ASK_DELAY_MS = 1.5
ANSWER_MS = 4.0
SILENCE_MS = 50.0
SPILL_MS = 2.0
STARVED_MS = 1_000.0
STARVED_LINGER_MS = 15.0
ALONE_MIN = 4
ALONE_SHARES = 2
BROKER_IDLE_MS = 5_000.0
TIMER_STEP_MS = 1.0


class TokenChooser(Chooser):
    """
    Uses leases that this host holds, and asks the broker for more.

    While the broker is silent, the better of two random upstreams by own
    requests in flight is chosen instead.
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
        self._gates: dict[str, BudgetGate] = {}
        self._speeds: dict[str, SpeedTable] = {}
        self.holders: dict[str, Holder] = {}
        self.brokers: dict[str, Broker] = {}
        self._silent_until: dict[str, float] = {}
        self._starved_until: dict[str, float] = {}
        self._alone: dict[str, int] = {}
        self._known_services = 0
        self._sequence = 0
        self._planned: set[str] = set()
        self._update_members()
        bus.subscribe(SlotRequest, self._take_request)
        bus.subscribe(SlotGrant, self._take_grant)
        bus.subscribe(SlotReturn, self._take_return)

    def choose(self, service: ServiceRow, call: Call) -> Grant | None:
        shard = self._shards.home(service)
        holder = self._holder(shard)
        held = self._pick(service, holder, call)
        if held is not None:
            holder.use(held)
            row = service.upstreams[held.upstream]
            return self.make_grant(call, row, held.token)
        if not call.isolated and self._may_go_alone(shard, call):
            return self._choose_alone(service, shard, call)
        return None

    def _may_go_alone(self, shard: str, call: Call) -> bool:
        if self._is_silent(shard):
            return True
        waited_ms = self._clock.now_ms() - call.arrived_ms
        return waited_ms >= SPILL_MS and self._is_starved(shard)

    def wait(self, service: ServiceRow, call: Call, waiting: int) -> bool:
        shard = self._shards.home(service)
        holder = self._holder(shard)
        if call.isolated:
            self._send_request(service, shard, call, count=1)
        elif waiting > holder.pending(service.spec.max_queue_wait_ms):
            self._plan_ask(service, shard, call)
        if self._is_starved(shard):
            self._plan_spill(service)
        return not holder.idle and not self._is_silent(shard)

    def release(self, service: ServiceRow, grant: Grant, report: Report) -> None:
        shard = self._shards.home(service)
        if report.result is Result.OK:
            self._speed(shard).note(grant.upstream.name, report.latency_ms)
        if not grant.token:
            self._alone[shard] = max(0, self._alone.get(shard, 0) - 1)
        else:
            self._holder(shard).end_use(grant.token, report)

    def idle(self, service: ServiceRow) -> None:
        self._holder(self._shards.home(service)).settle()

    def tick(self) -> None:
        changed = self._update_members()
        if changed or len(self._tables.services) != self._known_services:
            self._take_over()
        for holder in self.holders.values():
            holder.renew(force=changed)
        for shard, broker in list(self.brokers.items()):
            service = self._tables.services.get(split_shard(shard)[0])
            if service is None or self._shards.broker(shard) != self._bus.host_id:
                del self.brokers[shard]
                continue
            broker.sync(service)
            broker.tick()

    def _take_over(self) -> None:
        self._known_services = len(self._tables.services)
        for service in self._tables.services.values():
            for shard in list_shards(service):
                if self._shards.broker(shard) == self._bus.host_id:
                    self._broker(shard)

    def note_request(self, service: ServiceRow) -> None:
        self._gate(service).note_request()

    def _pick(self, service: ServiceRow, holder: Holder, call: Call) -> Held | None:
        best, best_ms = None, 0.0
        now_ms = self._clock.now_ms()
        speeds = self._speed(holder.shard)
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

    def _plan_ask(self, service: ServiceRow, shard: str, call: Call) -> None:
        # A lease in use may end first, and calls that arrive meanwhile share the
        # request to the broker.
        local = self._shards.broker(shard) == self._bus.host_id
        holder = self._holder(shard)
        unanswered = holder.asked and holder.heard_ms < holder.asked_ms
        if local or not (holder.leases or unanswered):
            self._ask(service, shard, call)
        elif shard not in self._planned:
            self._planned.add(shard)
            self._timers.call_later(ASK_DELAY_MS, lambda: self._ask_now(shard, call))

    def _ask_now(self, shard: str, call: Call) -> None:
        self._planned.discard(shard)
        service = self._tables.services.get(split_shard(shard)[0])
        if service is None:
            return
        waiting = self._count_waiting(service.spec.name)
        if waiting > self._holder(shard).pending(service.spec.max_queue_wait_ms):
            self._ask(service, shard, call)

    def _ask(self, service: ServiceRow, shard: str, call: Call) -> None:
        holder = self._holder(shard)
        holder.asked = self._count_waiting(service.spec.name)
        holder.asked_ms = self._clock.now_ms()
        if not self._send_request(service, shard, call, count=holder.asked):
            holder.asked = 0
            self._starved_until[shard] = self._clock.now_ms() + STARVED_MS
            holder.floor_ms = STARVED_LINGER_MS
            self._plan_spill(service)

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
            self._broker(shard).take_request(broker, message)
            return True
        if not self._gate(service).spend_call(size_of(message)):
            return False
        self._bus.send(broker, message)
        self._timers.call_later(ANSWER_MS, lambda: self._check(shard, now_ms))
        return True

    def _check(self, shard: str, asked_ms: float) -> None:
        holder = self._holder(shard)
        if holder.heard_ms >= asked_ms:
            return
        holder.asked = 0
        self._fall_silent(shard)
        self._available(split_shard(shard)[0])

    def _fall_silent(self, shard: str) -> None:
        self._silent_until[shard] = self._clock.now_ms() + SILENCE_MS

    def _is_silent(self, shard: str) -> bool:
        until_ms = self._silent_until.get(shard)
        return until_ms is not None and self._clock.now_ms() < until_ms

    def _plan_spill(self, service: ServiceRow) -> None:
        name = service.spec.name
        self._timers.call_later(SPILL_MS, lambda: self._available(name))

    def _is_starved(self, shard: str) -> bool:
        until_ms = self._starved_until.get(shard)
        if until_ms is None:
            return False
        if self._clock.now_ms() < until_ms:
            return True
        del self._starved_until[shard]
        self._holder(shard).floor_ms = 0.0
        return False

    def _choose_alone(
        self, service: ServiceRow, shard: str, call: Call
    ) -> Grant | None:
        alone = self._alone.get(shard, 0)
        if alone >= self._alone_limit(service):
            return None
        rows = self.candidates(service, call)
        first, second = self._rng.choice(rows), self._rng.choice(rows)
        row = first if first.in_flight <= second.in_flight else second
        if row.in_flight >= row.slots:
            return None
        self._alone[shard] = alone + 1
        return self.make_grant(call, row)

    def _alone_limit(self, service: ServiceRow) -> int:
        slots = sum(row.slots for row in service.upstreams.values())
        return max(ALONE_MIN, ALONE_SHARES * slots // max(1, len(self._zones)))

    def _update_members(self) -> bool:
        members = self._bus.members()
        self._zones = {view.host_id: view.zone for view in members}
        return self._shards.update(members)

    def _holder(self, shard: str) -> Holder:
        holder = self.holders.get(shard)
        if holder is None:
            holder = self.holders[shard] = Holder(
                shard=shard,
                clock=self._clock,
                timers=self._timers,
                send=self._send_return,
            )
        return holder

    def _broker(self, shard: str) -> Broker:
        broker = self.brokers.get(shard)
        if broker is None:
            broker = self.brokers[shard] = Broker(
                shard=shard,
                host_id=self._bus.host_id,
                clock=self._clock,
                rng=self._rng,
                health=self._health,
                speeds=self._speed(shard),
                send=self._send_grant,
                zone_of=lambda host_id: self._zones.get(host_id, ""),
                timers=self._timers,
            )
            broker.sync(self._tables.services[split_shard(shard)[0]])
            self._timers.call_later(SETTLE_MS + TIMER_STEP_MS, broker.tick)
        return broker

    def _speed(self, shard: str) -> SpeedTable:
        speeds = self._speeds.get(shard)
        if speeds is None:
            speeds = self._speeds[shard] = SpeedTable(clock=self._clock)
        return speeds

    def _gate(self, service: ServiceRow) -> BudgetGate:
        name = service.spec.name
        gate = self._gates.get(name)
        if gate is None:
            gate = self._gates[name] = BudgetGate(
                clock=self._clock,
                budget=service.spec.measuring,
                counter=self.counters.setdefault(name, MeasuringCounter()),
            )
        return gate

    def _charge(self, shard: str, message: Any) -> None:
        service = self._tables.services.get(split_shard(shard)[0])
        if service is not None:
            self._gate(service).spend_message(size_of(message))

    def _send_grant(self, host_id: str, message: SlotGrant) -> None:
        if host_id == self._bus.host_id:
            self._take_grant(host_id, message)
            return
        self._charge(message.shard, message)
        self._bus.send(host_id, message)

    def _send_return(self, shard: str, message: SlotReturn) -> None:
        message.waiting = self._count_waiting(split_shard(shard)[0])
        broker = self._shards.broker(shard)
        if broker == self._bus.host_id:
            self._broker(shard).take_return(broker, message)
            return
        self._charge(shard, message)
        self._bus.send(broker, message)

    def _take_request(self, sender: str, message: SlotRequest) -> None:
        if split_shard(message.shard)[0] in self._tables.services:
            self._broker(message.shard).take_request(sender, message)

    def _take_return(self, sender: str, message: SlotReturn) -> None:
        if split_shard(message.shard)[0] in self._tables.services:
            self._broker(message.shard).take_return(sender, message)

    def _take_grant(self, sender: str, message: SlotGrant) -> None:
        shard = message.shard
        name = split_shard(shard)[0]
        if name not in self._tables.services:
            return
        holder = self._holder(shard)
        self._silent_until.pop(shard, None)
        holder.take_grant(message)
        self._available(name)
        holder.settle()
