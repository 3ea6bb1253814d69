"""Typed events of the timeline."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Event", "EventKind"]


class EventKind(StrEnum):
    """Kind of an event."""

    HOST_STARTED = "host_started"
    HOST_READY = "host_ready"
    HOST_LEAVING = "host_leaving"
    MEMBER_JOINED = "member_joined"
    MEMBER_SUSPECTED = "member_suspected"
    MEMBER_DEAD = "member_dead"
    MEMBER_LEFT = "member_left"
    REQUEST_SLOW = "request_slow"
    REQUEST_RETRIED = "request_retried"
    REQUEST_FAILED = "request_failed"
    REQUEST_REFUSED = "request_refused"
    UPSTREAM_EJECTED = "upstream_ejected"
    UPSTREAM_RETURNED = "upstream_returned"
    UPSTREAM_DRAINING = "upstream_draining"
    UPSTREAM_DRAINED = "upstream_drained"
    CONNECTION_SILENT = "connection_silent"
    REQUEST_QUARANTINED = "request_quarantined"
    REQUEST_RELEASED = "request_released"
    CONFIG_APPLIED = "config_applied"
    ORDER_ACCEPTED = "order_accepted"
    ORDER_REFUSED = "order_refused"
    WATCHER_CHANGED = "watcher_changed"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_RECOVERED = "store_recovered"


@dataclass(slots=True, kw_only=True, frozen=True)
class Event:
    """
    One event of one host.

    ``time_ms`` and ``count`` are a reading of a hybrid logical clock: wall-clock
    milliseconds that are never below the reading of a received message, and a tie
    breaker.
    """

    time_ms: float
    count: int
    host: str
    zone: str
    kind: EventKind
    cause: str = ""
    request_id: str = ""
    service: str = ""
    upstream: str = ""
    revision: int = 0
    duration_ms: float = 0.0
