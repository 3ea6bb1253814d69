"""The system that keeps the signs by which upstreams end or pause new work."""

import random
from collections.abc import Callable

import structlog

from mangohatch.clock import Clock
from mangohatch.core.choice.base import ignore_service
from mangohatch.core.signs.settings import SignSettings
from mangohatch.core.statement import UpstreamStatement
from mangohatch.core.subset import SubsetTable
from mangohatch.core.tables import DrainCause, Tables, UpstreamRow
from mangohatch.core.timers import Timers
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.signs import LeavingNotice, PauseNotice

__all__ = ["SignSystem"]

# A notice may be lost; hosts that have heard it ignore the next one.
NOTICE_DELAYS_MS = (0.0, 300.0, 1_000.0)
# Several requests that were under way may be turned away in a row.
PAUSE_NOTICE_INTERVAL_MS = 100.0
RETENTION_MS = 900_000.0
FORGET_INTERVAL_MS = 60_000.0

log = structlog.get_logger()


class SignSystem:
    """
    Keeps what upstreams said of themselves, by process.

    An upstream that leaves gets no new request of any host that knows of it, whatever
    the directory says. The hosts that use it are told once; later load reports renew
    the sign. A pause concerns the host that was turned away; the others stay away for
    a short time too, unless the upstream accepts their requests nevertheless.

    Signs outlive the rows of the tables: an entry of the directory may lapse and
    return, and a host may stop and start to use an upstream, while the process is the
    same.

    ``on_change`` is called with the name of a service when a sign begins or ends, and
    ``on_leaving`` with an upstream that leaves. ``pauses`` and ``leavings`` count the
    signs that this host has obeyed.

    :param clock: source of time
    :param rng: spreads returns after pauses
    :param tables: services and upstreams
    :param subset: the hosts that use each upstream
    :param bus: messages to these hosts
    :param timers: repeats notices, and ends pauses
    :param cfg: bounds
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        tables: Tables,
        subset: SubsetTable,
        bus: PeerBus,
        timers: Timers,
        cfg: SignSettings | None = None,
    ) -> None:
        self.on_change: Callable[[str], None] = ignore_service
        self.on_leaving: Callable[[UpstreamRow], None] = ignore_upstream
        self.cfg = cfg or SignSettings()
        self.pauses = 0
        self.leavings = 0
        self._clock = clock
        self._rng = rng
        self._tables = tables
        self._subset = subset
        self._bus = bus
        self._timers = timers
        self._forget_due_ms = clock.now_ms() + FORGET_INTERVAL_MS
        bus.subscribe(LeavingNotice, self._receive_leaving)
        bus.subscribe(PauseNotice, self._receive_pause)

    def observe(self, row: UpstreamRow, statement: UpstreamStatement) -> None:
        """
        Record what a response says of its upstream.

        :param row: the upstream that sent the response
        :param statement: the decoded response
        """
        if statement.leaving:
            self._observe_leaving(row)
        if statement.pause_ms is not None:
            self._start_pause(row, statement.pause_ms)
        elif row.signs.on_trial and statement.accepted:
            self._end_trial(row)

    def observe_report(
        self, row: UpstreamRow, *, leaving: bool, healthy: bool, measured_ms: float
    ) -> None:
        """
        Renew or end the sign that an upstream leaves, by a load report.

        A report of a peer starts no sign, as it does not identify the process.

        :param row: the upstream
        :param leaving: whether the report says that the upstream leaves
        :param healthy: whether the upstream considers itself healthy
        :param measured_ms: monotonic time of the report in milliseconds
        """
        signs = row.signs
        if not signs.leaving:
            return
        if leaving:
            signs.leaving_ms = max(signs.leaving_ms, measured_ms)
        elif healthy and measured_ms - signs.leaving_ms >= self.cfg.leaving_term_ms:
            self._end_leaving(row)

    def tick(self) -> None:
        """Forget the signs of processes that are gone from the tables for long."""
        now_ms = self._clock.now_ms()
        if now_ms < self._forget_due_ms:
            return
        self._forget_due_ms = now_ms + FORGET_INTERVAL_MS
        used = {row.instance for row in self._tables.upstreams()}
        for key, signs in [*self._tables.signs.items()]:
            latest_ms = max(signs.leaving_ms, signs.paused_until_ms)
            if key not in used and now_ms - latest_ms > RETENTION_MS:
                del self._tables.signs[key]

    def _observe_leaving(self, row: UpstreamRow) -> None:
        row.signs.leaving_ms = self._clock.now_ms()
        if row.signs.leaving:
            return
        self._start_leaving(row, origin=self._bus.host_id, age_ms=0)
        for delay_ms in NOTICE_DELAYS_MS:
            self._timers.call_later(delay_ms, lambda: self._announce(row))

    def _start_leaving(self, row: UpstreamRow, *, origin: str, age_ms: int) -> None:
        now_ms = self._clock.now_ms()
        signs = row.signs
        signs.leaving_since_ms = now_ms
        signs.leaving_ms = max(signs.leaving_ms, now_ms - age_ms)
        signs.origin = origin
        self._tables.signs[row.instance] = signs
        row.start_drain(DrainCause.SIGN)
        self.leavings += 1
        log.info(
            "upstream_leaving",
            service=row.service,
            upstream=row.name,
            origin=origin,
            age_ms=age_ms,
            in_flight=row.in_flight,
        )
        self.on_leaving(row)
        self.on_change(row.service)

    def _end_leaving(self, row: UpstreamRow) -> None:
        since_ms = row.signs.leaving_since_ms or 0.0
        row.signs.leaving_since_ms = None
        row.end_drain(DrainCause.SIGN)
        log.info(
            "upstream_stays",
            service=row.service,
            upstream=row.name,
            age_ms=round(self._clock.now_ms() - since_ms),
            cause="load reports without the sign that it leaves",
        )
        self.on_change(row.service)

    def _start_pause(self, row: UpstreamRow, asked_ms: float) -> None:
        pause_ms = min(asked_ms, self.cfg.max_pause_ms)
        self._pause(row, pause_ms)
        now_ms = self._clock.now_ms()
        if now_ms - row.signs.announced_ms < PAUSE_NOTICE_INTERVAL_MS:
            return
        row.signs.announced_ms = now_ms
        self.pauses += 1
        log.info(
            "upstream_pause",
            service=row.service,
            upstream=row.name,
            asked_ms=round(asked_ms),
            pause_ms=round(pause_ms),
            in_flight=row.in_flight,
        )
        self._tell_users(row, PauseNotice(rest_ms=int(pause_ms)))

    def _pause(self, row: UpstreamRow, pause_ms: float) -> None:
        now_ms = self._clock.now_ms()
        cfg = self.cfg
        spread_ms = min(cfg.return_spread * pause_ms, cfg.max_return_spread_ms)
        until_ms = now_ms + pause_ms + self._rng.uniform(0.0, spread_ms)
        signs = row.signs
        signs.on_trial = True
        self._tables.signs[row.instance] = signs
        # A shorter pause from a request that was already under way ends no longer one.
        if until_ms > signs.paused_until_ms:
            signs.paused_until_ms = until_ms
            service = row.service
            self._timers.call_later(until_ms - now_ms, lambda: self.on_change(service))
        self.on_change(row.service)

    def _end_trial(self, row: UpstreamRow) -> None:
        now_ms = self._clock.now_ms()
        # A request that was under way when the pause began shows nothing.
        if row.signs.is_paused(now_ms):
            return
        row.signs.on_trial = False
        if now_ms < row.signs.peer_paused_until_ms:
            row.signs.ignore_peers_until_ms = now_ms + self.cfg.peer_distrust_ms
        log.info("upstream_resumed", service=row.service, upstream=row.name)
        self.on_change(row.service)

    def _announce(self, row: UpstreamRow) -> None:
        signs = row.signs
        if not signs.leaving:
            return
        age_ms = int(self._clock.now_ms() - signs.leaving_ms)
        self._tell_users(row, LeavingNotice(age_ms=age_ms))

    def _tell_users(
        self, row: UpstreamRow, notice: LeavingNotice | PauseNotice
    ) -> None:
        notice.service_name = row.service
        notice.upstream = row.name
        notice.address = row.address
        notice.port = row.port
        notice.started_ms = row.started_ms
        users = self._subset.users(row.service, row.name)
        self._bus.multicast(sorted(users), notice)

    def _receive_leaving(self, sender: str, notice: LeavingNotice) -> None:
        row = self._find(notice)
        if row is not None and not row.signs.leaving:
            self._start_leaving(row, origin=sender, age_ms=max(0, notice.age_ms))

    def _receive_pause(self, sender: str, notice: PauseNotice) -> None:
        row = self._find(notice)
        now_ms = self._clock.now_ms()
        if row is None or now_ms < row.signs.ignore_peers_until_ms:
            return
        rest_ms = float(max(0, notice.rest_ms))
        signs = row.signs
        signs.peer_paused_until_ms = max(signs.peer_paused_until_ms, now_ms + rest_ms)
        pause_ms = min(rest_ms, self.cfg.max_peer_pause_ms)
        if now_ms + pause_ms > signs.paused_until_ms:
            self._pause(row, pause_ms)

    def _find(self, notice: LeavingNotice | PauseNotice) -> UpstreamRow | None:
        service = self._tables.services.get(notice.service_name)
        row = service.upstreams.get(notice.upstream) if service is not None else None
        told = (notice.address, notice.port, notice.started_ms)
        # Unless this host knows the process, the notice may be of an earlier one.
        if row is None or told != (row.address, row.port, row.started_ms):
            return None
        return row


def ignore_upstream(row: UpstreamRow) -> None:
    """
    Do nothing; the default of ``on_leaving``.

    :param row: an upstream
    """
