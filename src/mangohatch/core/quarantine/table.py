"""The table of requests suspected of crashing upstreams."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from mangohatch.clock import Clock

__all__ = ["QuarantineRow", "QuarantineTable"]

QUARANTINE_CRASHES = 2
SUSPECT_TTL_MS = 60_000.0
QUARANTINE_TTL_MS = 600_000.0
SAME_CRASH_MS = 1_000.0  # an upstream needs longer to come back and crash again
FIRST_TRIAL_MS = 1_000.0
LATER_TRIAL_MS = 120_000.0
MAX_ROWS = 1_000


@dataclass(slots=True, kw_only=True)
class QuarantineRow:
    """
    A request, by its fingerprint, whose attempts broke connections.

    ``service`` is the one that it crashed last; routes may move requests to another
    service. ``crashes`` counts the known crashes on all hosts since the request was
    cleared last, which ``epoch`` counts. It lags by milliseconds behind crashes on
    other hosts. A row without crashes remembers that the request was cleared.
    """

    service: str
    fingerprint: str
    expires_ms: float
    changed_ms: float = 0.0
    epoch: int = 0
    crashes: int = 0
    trials: int = 0
    upstreams: set[str] = field(default_factory=set)

    @property
    def quarantined(self) -> bool:
        """Whether the request is refused instead of only suspected."""
        return self.crashes >= QUARANTINE_CRASHES

    @property
    def trial_due_ms(self) -> float:
        """
        Monotonic time from which one copy may be tried, in milliseconds.

        Two crashes may be a coincidence where upstreams crash by themselves.
        """
        first = self.crashes == QUARANTINE_CRASHES
        return self.changed_ms + (FIRST_TRIAL_MS if first else LATER_TRIAL_MS)


class QuarantineTable:
    """Bounded rows by fingerprint; evicts the least recently changed."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._rows: OrderedDict[str, QuarantineRow] = OrderedDict()

    def find(self, fingerprint: str) -> QuarantineRow | None:
        """
        Find the row of a request.

        :param fingerprint: fingerprint of the request; may be empty
        :return: the row; None if the request is not suspected of crashes
        """
        row = self.get(fingerprint)
        return row if row is not None and row.crashes else None

    def get(self, fingerprint: str) -> QuarantineRow | None:
        """
        Return the row of a request, which may have been cleared.

        :param fingerprint: fingerprint of the request
        :return: the row; None if there is none or it has expired
        """
        row = self._rows.get(fingerprint)
        if row is None or row.expires_ms <= self._clock.now_ms():
            return None
        return row

    def record_crash(
        self, service: str, fingerprint: str, upstream: str
    ) -> QuarantineRow:
        """
        Record a crash, once if it broke several connections.

        :param service: name of the service
        :param fingerprint: fingerprint of the request
        :param upstream: name of the upstream whose connection broke
        :return: the changed row
        """
        row = self.get(fingerprint) or QuarantineRow(
            service=service, fingerprint=fingerprint, expires_ms=0.0
        )
        age_ms = self._clock.now_ms() - row.changed_ms
        is_known = upstream in row.upstreams and age_ms < SAME_CRASH_MS
        return self.merge(
            service,
            fingerprint,
            epoch=row.epoch,
            crashes=row.crashes if is_known else row.crashes + 1,
            upstreams=row.upstreams | {upstream},
        )

    def merge(
        self,
        service: str,
        fingerprint: str,
        *,
        epoch: int,
        crashes: int,
        upstreams: set[str],
        trials: int = 0,
        ttl_ms: float = 0.0,
    ) -> QuarantineRow:
        """
        Merge the crashes recorded by a host into a row.

        :param service: name of the service
        :param fingerprint: fingerprint of the request
        :param epoch: how often the host knew the request to be cleared; crashes of
            earlier epochs than that of the row do not count
        :param crashes: number of crashes recorded by the host
        :param upstreams: names of the crashed upstreams recorded by the host
        :param trials: trials since the quarantine that the host knows of
        :param ttl_ms: remaining time in milliseconds at the host; 0 for the full time
        :return: the changed row
        """
        row = self.get(fingerprint)
        if row is None:
            row = QuarantineRow(service=service, fingerprint=fingerprint, expires_ms=0)
        if epoch < row.epoch:
            return row
        if epoch > row.epoch:
            row.epoch, row.crashes, row.trials, row.upstreams = epoch, 0, 0, set()
            row.expires_ms = 0.0
            row.changed_ms = self._clock.now_ms()
        row.service = service
        row.upstreams |= upstreams
        crashes = max(row.crashes, crashes, len(row.upstreams))
        if crashes > row.crashes or trials > row.trials:
            row.crashes = crashes
            row.trials = max(row.trials, trials)
            row.changed_ms = self._clock.now_ms()
        suspected = row.crashes and not row.quarantined
        term_ms = SUSPECT_TTL_MS if suspected else QUARANTINE_TTL_MS
        until_ms = self._clock.now_ms() + (ttl_ms or term_ms)
        row.expires_ms = max(row.expires_ms, until_ms)
        self._rows[fingerprint] = row
        self._rows.move_to_end(fingerprint)
        if len(self._rows) > MAX_ROWS:
            self._rows.popitem(last=False)
        return row

    def record_trial(self, row: QuarantineRow) -> None:
        """
        Record that a copy of a quarantined request is tried.

        :param row: row of the request
        """
        row.trials += 1
        row.changed_ms = self._clock.now_ms()

    def clear(self, service: str, fingerprint: str) -> QuarantineRow:
        """
        Clear a request of all crashes that are known on this host.

        :param service: name of the service
        :param fingerprint: fingerprint of the request
        :return: the row, without crashes
        """
        row = self.get(fingerprint)
        epoch = row.epoch if row is not None else 0
        return self.merge(
            service, fingerprint, epoch=epoch + 1, crashes=0, upstreams=set()
        )

    def expire(self) -> None:
        """Remove the rows that have expired."""
        now_ms = self._clock.now_ms()
        expired = [key for key, row in self._rows.items() if row.expires_ms <= now_ms]
        for key in expired:
            del self._rows[key]

    def all_rows(self) -> Iterator[QuarantineRow]:
        """
        Iterate over the rows of suspected and of cleared requests.

        :return: rows in order of their last change, oldest first
        """
        return iter(tuple(self._rows.values()))

    def rows(self) -> Iterator[QuarantineRow]:
        """
        Iterate over the rows of requests with crashes.

        :return: rows in order of their last change, oldest first
        """
        return iter(tuple(row for row in self._rows.values() if row.crashes))
