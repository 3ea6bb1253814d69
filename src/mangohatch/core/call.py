"""Values exchanged between the decision core and the code that does I/O."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from mangohatch.core.statement import UpstreamStatement
from mangohatch.core.tables import UpstreamRow
from mangohatch.errors import RequestError

__all__ = [
    "Call",
    "Decision",
    "Deliver",
    "Grant",
    "GrantBasis",
    "Refusal",
    "Report",
    "Result",
]

MAX_ATTEMPTS = 3  # per request, unless its route sets another limit


@dataclass(slots=True, kw_only=True)
class Call:
    """
    A request that needs an upstream.

    All times are in milliseconds on the monotonic clock of this host. ``avoid`` names
    the upstreams that earlier attempts of this request used. ``fingerprint`` identifies
    resends of the same request; it is empty when there is none. ``path_fingerprint`` is
    equal for all requests with the same path and body, whatever their query and caller,
    and ``caller_fingerprint`` for those of the same caller; both are empty where
    callers do not vary these. An isolated call runs on an upstream
    with no other request in flight. Calls with a lower ``priority`` go first. A
    response after ``objective_ms`` is late, and a response to an attempt that starts
    after ``start_by_ms`` is likely to be late. An attempt that starts after
    ``latest_start_ms`` is not expected to end before ``deadline_ms``.
    ``response_bytes`` is the typical response size of the route. Only upstreams in
    ``allowed_regions`` may run the call; None means that there is no restriction. A
    ``hedge`` is a second attempt beside one that runs; it is sent at once or not at
    all.
    ``config_version`` is the version of the configuration by which it was admitted.
    ``account`` is the client account that the caller's key identifies, empty for none,
    and ``key_digest`` the digest of that key; ``account_priority`` comes before
    ``priority``.
    """

    request_id: str
    service: str
    arrived_ms: float
    deadline_ms: float
    idempotent: bool
    customer: str = ""
    fingerprint: str = ""
    path_fingerprint: str = ""
    caller_fingerprint: str = ""
    avoid: frozenset[str] = frozenset()
    attempt: int = 1
    isolated: bool = False
    route: str = ""
    priority: int = 0
    max_attempts: int = MAX_ATTEMPTS
    objective_ms: float = math.inf
    start_by_ms: float = math.inf
    latest_start_ms: float = math.inf
    response_bytes: float = 0.0
    allowed_regions: frozenset[str] | None = None
    hedge: bool = False
    account: str = ""
    key_digest: bytes = b""
    account_priority: int = 0
    config_version: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class GrantBasis:
    """
    The estimates that a choice was based on, kept to explain the choice later.

    ``hold_ms`` is the time for which the slowdown was expected to stay the same; it is
    infinite where no change period is known. ``withheld`` describes the upstreams that
    were passed over because they leave or ask for a pause.
    """

    expected_ms: float
    slowdown: float
    hold_ms: float
    report_age_ms: float
    occupancy: int
    free: int
    withheld: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True)
class Grant:
    """
    Permission to send one attempt of a call to an upstream.

    ``token`` identifies the slot lease in use; it is 0 when the host chose without a
    lease. ``basis`` holds the estimates behind the choice, None when there are none.
    """

    call: Call
    upstream: UpstreamRow
    granted_ms: float
    token: int = 0
    basis: GrantBasis | None = None


@dataclass(slots=True, kw_only=True)
class Refusal:
    """The call gets no upstream; ``error`` is its final response."""

    call: Call
    error: RequestError


Decision = Grant | Refusal
Deliver = Callable[[Decision], None]


class Result(StrEnum):
    """How an attempt ended, as seen by routing."""

    OK = "ok"
    ERROR = "error"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    ABORTED = "aborted"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
    SILENT = "silent"
    SUPERSEDED = "superseded"


@dataclass(slots=True, kw_only=True)
class Report:
    """
    The result of an attempt.

    ``latency_ms`` is the time from sending the request to the end of the response.
    ``statement`` is what the response says of its upstream. ``not_run`` is set if the
    attempt has certainly not run.
    """

    result: Result
    latency_ms: float
    first_byte_ms: float | None = None
    statement: UpstreamStatement = UpstreamStatement()
    response_bytes: int = 0
    not_run: bool = False
