"""Typed values that pass between the decision core and the shell around it."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from mangohatch.core.load import UpstreamLoad
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

MAX_ATTEMPTS = 3  # of one request, where its route sets no other bound


@dataclass(slots=True, kw_only=True)
class Call:
    """
    One request that asks for an upstream.

    ``deadline_ms`` is on the monotonic clock of this host. ``avoid`` names
    upstreams that earlier attempts of this request used. ``fingerprint``
    identifies resends of the same request; empty when it has none. An isolated
    call runs on an upstream with no other request in flight. Lower ``priority``
    goes first; an answer after ``objective_ms`` is late, and one whose attempt begins
    after ``start_by_ms`` is likely to be; one that begins after ``latest_start_ms``
    can't end before the deadline. ``response_bytes`` is the size that answers
    of its route usually have.
    """

    request_id: str
    service: str
    arrived_ms: float
    deadline_ms: float
    idempotent: bool
    customer: str = ""
    fingerprint: str = ""
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


@dataclass(slots=True, kw_only=True, frozen=True)
class GrantBasis:
    """
    What a choice went by, for those who have to explain it afterwards.

    ``hold_ms`` is the time for which the slow-down was expected to hold; infinite
    where no rhythm is known.
    """

    expected_ms: float
    slowdown: float
    hold_ms: float
    report_age_ms: float
    occupancy: int
    free: int


@dataclass(slots=True, kw_only=True)
class Grant:
    """
    Permission to send one attempt of a call to an upstream.

    ``token`` is the slot lease in use, 0 when the host has chosen without one.
    ``basis`` tells what the choice went by, None where nothing was known.
    """

    call: Call
    upstream: UpstreamRow
    granted_ms: float
    token: int = 0
    basis: GrantBasis | None = None


@dataclass(slots=True, kw_only=True)
class Refusal:
    """The call gets no upstream; ``error`` is its final answer."""

    call: Call
    error: RequestError


Decision = Grant | Refusal
Deliver = Callable[[Decision], None]


class Result(StrEnum):
    """How an attempt ended, as far as routing is concerned."""

    OK = "ok"
    ERROR = "error"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    ABORTED = "aborted"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
    SILENT = "silent"


@dataclass(slots=True, kw_only=True)
class Report:
    """
    What an attempt showed.

    ``latency_ms`` runs from sending to the end of the response.
    ``upstream_in_flight`` and ``load`` are what the answer carried of the upstream's
    load, None without any.
    ``draining`` is set when the answer said that the upstream is leaving.
    """

    result: Result
    latency_ms: float
    first_byte_ms: float | None = None
    upstream_in_flight: int | None = None
    load: UpstreamLoad | None = None
    response_bytes: int = 0
    draining: bool = False
