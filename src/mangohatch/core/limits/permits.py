"""Permits that this host holds for upstreams that name a limit."""

from collections.abc import Callable

import structlog

from mangohatch.clock import Clock
from mangohatch.core.choice.base import ignore_service, return_zero
from mangohatch.core.limits.base import SendLimits
from mangohatch.core.limits.broker import PermitBroker, rate
from mangohatch.core.limits.cold import ColdStates
from mangohatch.core.limits.held import HeldPermits
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import Tables, UpstreamRow
from mangohatch.core.timers import Timers
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.permits import PermitGrant, PermitRequest, PermitReturn

__all__ = ["PermitTable"]

REQUEST_INTERVAL_MS = 50.0
HOLD_MS = 100.0  # a permit that no call could use by then goes back
AHEAD_HOLD_MS = 1_000.0
# Permits held by all hosts at once then stay below two seconds of the limit.
MIN_AHEAD_PER_S = 0.5
MAX_REQUESTED = 4
MS_PER_S = 1000.0

log = structlog.get_logger()


class PermitTable(SendLimits):
    """
    Asks the owner of a limited upstream for permits while calls wait.

    Calls go to upstreams without a limit first. Those that wait may use any permit that
    arrives, and a permit that none can use goes back. Where a limit allows each host a
    request every other second, hosts also hold a permit for the next call, and the
    upstream is used like others. The owner itself also sends requests that need not
    wait, so that it learns when the limit is withdrawn.

    A permit for a cold upstream answers one numbered request, once and in time, and is
    used or lost, so that lost, late and repeated messages permit nothing more.

    ``on_permit`` is called with the name of a service when a permit has arrived, and
    ``on_limit`` with an upstream whose responses to this host name another limit.
    ``count_waiting`` returns the number of calls that wait for a service. ``used``
    counts the requests that were sent to upstreams with a limit.

    :param clock: source of time
    :param tables: services and upstreams
    :param subset: the owner of each upstream
    :param bus: messages to the owners
    :param timers: asks again, and returns unused permits
    :param cold: which upstreams are cold; None if none ever is
    """

    def __init__(
        self,
        *,
        clock: Clock,
        tables: Tables,
        subset: SubsetTable,
        bus: PeerBus,
        timers: Timers,
        cold: ColdStates | None = None,
    ) -> None:
        self.cold = cold
        self.on_permit: Callable[[str], None] = ignore_service
        self.on_limit: Callable[[UpstreamRow], None] = ignore_upstream
        self.count_waiting: Callable[[str], int] = return_zero
        self._clock = clock
        self._tables = tables
        self._subset = subset
        self._bus = bus
        self._timers = timers
        self._held: dict[int, HeldPermits] = {}
        self._timed: set[str] = set()
        self.used = 0
        self.cold_used = 0
        # A process that takes over the name of another one continues above its numbers.
        self._number = int(clock.wall_ms())
        self._turn = 0
        self.broker = PermitBroker(
            clock=clock,
            subset=subset,
            timers=timers,
            grant=self._send_grant,
            cold=cold,
        )
        bus.subscribe(PermitRequest, self._receive_request)
        bus.subscribe(PermitGrant, self._receive_grant)
        bus.subscribe(PermitReturn, self._receive_return)

    def may_send(self, row: UpstreamRow) -> bool:
        if not row.limited:
            return True
        if self._usable(row) is not None:
            return True
        return self.broker.owns(row) and self.broker.is_free(row)

    def take(self, row: UpstreamRow) -> None:
        if not row.limited:
            return
        self.used += 1
        self.cold_used += row.cold.cold
        held = self._usable(row)
        if held is not None:
            held.count -= 1
        else:
            self.broker.take(row)

    def _usable(self, row: UpstreamRow) -> HeldPermits | None:
        held = self._held.get(id(row))
        if held is None or not held.is_usable(self._clock.now_ms()):
            return None
        return held

    def request(self, service: str) -> None:
        row = self._tables.services.get(service)
        if row is None:
            return
        limited = [item for item in row.upstreams.values() if item.limited]
        for upstream in limited:
            if not upstream.cold.cold:
                self._request(upstream)
        self._request_cold(service, [item for item in limited if item.cold.cold])
        if limited and service not in self._timed:
            self._timed.add(service)
            self._timers.call_later(
                REQUEST_INTERVAL_MS, lambda: self._request_again(service)
            )

    def expected_wait_ms(self, service: str) -> float:
        row = self._tables.services.get(service)
        if row is None:
            return 0.0
        per_s = sum(rate(item) for item in row.upstreams.values() if item.limited)
        return self._subset.hosts / per_s * MS_PER_S if per_s else 0.0

    def observe(self, row: UpstreamRow, per_s: float) -> None:
        if not row.limit.observe(per_s, seen_ms=self._clock.now_ms()):
            return
        log.info(
            "upstream_limit", service=row.service, upstream=row.name, limit_per_s=per_s
        )
        self.on_limit(row)

    def tick(self) -> None:
        """Ask ahead where limits allow it, and forget upstreams that name none."""
        if self.cold is not None:
            self.cold.tick()
        limited = [row for row in self._tables.upstreams() if row.limited]
        self.broker.tick(limited)
        for key in self._held.keys() - {id(row) for row in limited}:
            del self._held[key]
        for row in limited:
            if self._may_ask_ahead(row):
                self._request(row)

    def detect_pause(self) -> None:
        if self.cold is not None:
            self.cold.detect_pause()

    def _may_ask_ahead(self, row: UpstreamRow) -> bool:
        if row.cold.cold:
            return False
        return row.limit.per_s >= MIN_AHEAD_PER_S * self._subset.hosts

    def _request_cold(self, service: str, rows: list[UpstreamRow]) -> None:
        """Ask the owners of as many cold upstreams as calls wait, in turn."""
        if not rows:
            return
        self._turn += 1
        first = self._turn % len(rows)
        wanted = self.count_waiting(service)
        for row in rows[first:] + rows[:first]:
            if wanted <= 0:
                return
            wanted -= 1
            self._request(row)

    def _request_again(self, service: str) -> None:
        self._timed.discard(service)
        if self.count_waiting(service):
            self.request(service)

    def _request(self, row: UpstreamRow) -> None:
        now_ms = self._clock.now_ms()
        held = self._held.setdefault(id(row), HeldPermits(row=row))
        if held.count or now_ms - held.requested_ms < REQUEST_INTERVAL_MS:
            return
        held.requested_ms = now_ms
        waiting = self.count_waiting(row.service)
        count = max(1, min(waiting, row.slots, MAX_REQUESTED))
        number = None
        if row.cold.cold:
            self._number += 1
            count, number = 1, self._number
            held.ask(number, now_ms)
        owner = self._subset.owner(row.service, row.name)
        if owner == self._bus.host_id:
            self.broker.request(owner, row, count, number)
        elif owner:
            message = PermitRequest(
                service_name=row.service,
                upstream=row.name,
                count=count,
                number=number,
            )
            self._bus.send(owner, message)

    def _send_grant(
        self, host_id: str, row: UpstreamRow, count: int, number: int | None
    ) -> None:
        if host_id == self._bus.host_id:
            self._hold(row, count, number)
        else:
            message = PermitGrant(
                service_name=row.service,
                upstream=row.name,
                count=count,
                number=number,
            )
            self._bus.send(host_id, message)

    def _hold(self, row: UpstreamRow, count: int, number: int | None) -> None:
        held = self._held.setdefault(id(row), HeldPermits(row=row))
        now_ms = self._clock.now_ms()
        if held.is_late(number, now_ms):
            log.info("permit_late", service=row.service, upstream=row.name)
            return
        ahead = self._may_ask_ahead(row)
        hold_ms = AHEAD_HOLD_MS if ahead else HOLD_MS
        held.add(count, until_ms=now_ms + hold_ms, now_ms=now_ms)
        self._timers.call_later(hold_ms, lambda: self._put_back(held))
        # A grant may come from within the placement of a call.
        self._timers.call_later(0.0, lambda: self._offer(held, ahead))

    def _offer(self, held: HeldPermits, ahead: bool) -> None:
        service = held.row.service
        self.on_permit(service)
        if not ahead and not self.count_waiting(service):
            self._put_back(held)

    def _put_back(self, held: HeldPermits) -> None:
        row, count, held.count = held.row, held.count, 0
        if not count or not row.limited or held.cold != row.cold.cold:
            return
        owner = self._subset.owner(row.service, row.name)
        if owner == self._bus.host_id:
            self.broker.put_back(row, count)
        elif owner and not row.cold.cold:
            message = PermitReturn(
                service_name=row.service, upstream=row.name, count=count
            )
            self._bus.send(owner, message)

    def _find_row(self, service: str, upstream: str) -> UpstreamRow | None:
        row = self._tables.services.get(service)
        return row.upstreams.get(upstream) if row is not None else None

    def _receive_request(self, sender: str, message: PermitRequest) -> None:
        row = self._find_row(message.service_name, message.upstream)
        if row is not None:
            self.broker.request(sender, row, message.count, message.number)

    def _receive_grant(self, sender: str, message: PermitGrant) -> None:
        row = self._find_row(message.service_name, message.upstream)
        if row is not None:
            self._hold(row, message.count, message.number)

    def _receive_return(self, sender: str, message: PermitReturn) -> None:
        row = self._find_row(message.service_name, message.upstream)
        # The permit may be of the time before the upstream became cold.
        if row is not None and row.limit.named and not row.cold.cold:
            self.broker.put_back(row, message.count)


def ignore_upstream(row: UpstreamRow) -> None:
    """
    Do nothing; the default of ``on_limit``.

    :param row: an upstream
    """
