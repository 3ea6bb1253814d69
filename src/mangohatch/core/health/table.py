"""The table of the health of upstreams."""

from dataclasses import dataclass, field
from enum import StrEnum

from mangohatch.core.tables import UpstreamRow

__all__ = ["HealthRow", "HealthState", "HealthTable"]


class HealthState(StrEnum):
    """Whether an upstream may receive work."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBATION = "probation"


@dataclass(slots=True, kw_only=True)
class HealthRow:
    """
    Evidence and health state of one upstream.

    Times are monotonic milliseconds. ``latency_ms`` is a time-weighted mean latency;
    ``failure_rate`` is a mean over recent attempts. ``ejections`` counts consecutive
    ejections; it is reset after ``forgive_ms`` in the healthy state.
    """

    service: str
    name: str
    address: tuple[str, int]
    state: HealthState = HealthState.HEALTHY
    consecutive_failures: int = 0
    attempts: int = 0
    failure_rate: float = 0.0
    latency_ms: float = 0.0
    latency_seen_ms: float = 0.0
    slow_since_ms: float | None = None
    ejections: int = 0
    ejected_until_ms: float = 0.0
    advised_until_ms: float = 0.0
    probation_successes: int = 0
    ramp_start_ms: float | None = None
    healthy_since_ms: float = 0.0


@dataclass(slots=True, kw_only=True)
class HealthTable:
    """
    Health rows by service and name of the upstream.

    ``unused`` holds the names of upstreams that this host does not use at present. It
    keeps their rows, as it may use them again, but compares no others with them.
    """

    rows: dict[str, dict[str, HealthRow]] = field(default_factory=dict)
    unused: dict[str, frozenset[str]] = field(default_factory=dict)

    def used(self, service: str) -> list[HealthRow]:
        """
        List the rows of the upstreams that this host uses.

        :param service: name of the service
        :return: rows in the order in which they were added
        """
        unused = self.unused.get(service, frozenset())
        return [
            row
            for name, row in self.rows.get(service, {}).items()
            if name not in unused
        ]

    def find(self, upstream: UpstreamRow) -> HealthRow | None:
        """
        Find the row of an upstream.

        :param upstream: the upstream
        :return: the row; None if the upstream is unknown or its address has changed
        """
        row = self.rows.get(upstream.service, {}).get(upstream.name)
        if row is None or row.address != (upstream.address, upstream.port):
            return None
        return row

    def add(self, upstream: UpstreamRow, *, now_ms: float) -> HealthRow:
        """
        Add a row for an upstream that is new or has a new address.

        :param upstream: the upstream
        :param now_ms: monotonic time in milliseconds
        :return: the new row
        """
        row = HealthRow(
            service=upstream.service,
            name=upstream.name,
            address=(upstream.address, upstream.port),
            latency_seen_ms=now_ms,
            healthy_since_ms=now_ms,
        )
        self.rows.setdefault(upstream.service, {})[upstream.name] = row
        return row
