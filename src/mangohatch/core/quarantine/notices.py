"""Exchange of quarantine rows between entry hosts."""

import random
from collections.abc import Callable

import structlog

from mangohatch.clock import Clock
from mangohatch.core.quarantine.table import QuarantineRow, QuarantineTable
from mangohatch.peer.bus import PeerBus
from mangohatch.peer.messages.notices import QuarantineNotice

__all__ = ["QuarantineNotices"]

REPEAT_INTERVAL_MS = 500.0
RECENT_MS = 10_000.0  # by then, hosts that lost the first notice know of the change
RECENT_PEERS = 3
OLD_PEERS = 1
REPEAT_ROWS = 10

log = structlog.get_logger()

OnChange = Callable[[str], None]


class QuarantineNotices:
    """
    Notifies peers of each change at once, and repeats rows to random peers.

    The repetition reaches hosts that started, were unreachable or lost the notice when
    a row changed. A notice of a later epoch clears the crashes of earlier ones.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        bus: PeerBus,
        table: QuarantineTable,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._bus = bus
        self._table = table
        self._repeat_at_ms = 0.0
        self._on_change: OnChange = lambda fingerprint: None
        bus.subscribe(QuarantineNotice, self._receive)

    def on_change(self, handler: OnChange) -> None:
        """
        Set the handler for changes reported by peers.

        :param handler: called with the fingerprint of the changed row
        """
        self._on_change = handler

    def announce(self, row: QuarantineRow) -> None:
        """
        Notify all peers of a row.

        :param row: the row that changed on this host
        """
        self._bus.broadcast(self._make_notice(row))

    def tick(self) -> None:
        """Send rows to random peers if the repeat interval has passed."""
        now_ms = self._clock.now_ms()
        if now_ms < self._repeat_at_ms:
            return
        self._repeat_at_ms = now_ms + REPEAT_INTERVAL_MS
        rows = list(self._table.all_rows())
        self._repeat(
            [row for row in rows if now_ms - row.changed_ms < RECENT_MS], RECENT_PEERS
        )
        self._repeat([row for row in rows if row.quarantined], OLD_PEERS)

    def _repeat(self, rows: list[QuarantineRow], count: int) -> None:
        if not rows:
            return
        peers = [
            member.host_id
            for member in self._bus.members()
            if member.host_id != self._bus.host_id
        ]
        chosen = self._rng.sample(peers, min(count, len(peers)))
        for row in self._rng.sample(rows, min(REPEAT_ROWS, len(rows))):
            self._bus.multicast(chosen, self._make_notice(row))

    def _make_notice(self, row: QuarantineRow) -> QuarantineNotice:
        return QuarantineNotice(
            service_name=row.service,
            fingerprint=row.fingerprint,
            crashes=row.crashes,
            ttl_ms=row.expires_ms - self._clock.now_ms(),
            upstreams=sorted(row.upstreams),
            epoch=row.epoch,
            trials=row.trials,
        )

    def _receive(self, sender: str, notice: QuarantineNotice) -> None:
        known = self._table.find(notice.fingerprint)
        if (known.crashes if known else 0) != notice.crashes:
            log.info(
                "quarantine_notice",
                peer=sender,
                service=notice.service_name,
                fingerprint=notice.fingerprint,
                epoch=notice.epoch,
                crashes=notice.crashes,
            )
        self._table.merge(
            notice.service_name,
            notice.fingerprint,
            epoch=notice.epoch,
            crashes=notice.crashes,
            upstreams=set(notice.upstreams),
            trials=notice.trials,
            ttl_ms=notice.ttl_ms,
        )
        self._on_change(notice.fingerprint)
