"""Typed values that pass between the decision core and the shell around it."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from mangohatch.core.tables import UpstreamRow
from mangohatch.errors import RequestError

__all__ = ["Call", "Decision", "Deliver", "Grant", "Refusal", "Report", "Result"]


@dataclass(slots=True, kw_only=True)
class Call:
    """
    One request that asks for an upstream.

    ``deadline_ms`` is on the monotonic clock of this host. ``avoid`` names
    upstreams that earlier attempts of this request used. ``fingerprint``
    identifies resends of the same request; empty when it has none. An isolated
    call runs on an upstream with no other request in flight.
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


@dataclass(slots=True, kw_only=True)
class Grant:
    """
    Permission to send one attempt of a call to an upstream.

    ``token`` is the slot lease in use, 0 when the host has chosen without one.
    """

    call: Call
    upstream: UpstreamRow
    granted_ms: float
    token: int = 0


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
    ``upstream_in_flight`` is the load that the answer carried, None without one.
    ``draining`` is set when the answer said that the upstream is leaving.
    """

    result: Result
    latency_ms: float
    first_byte_ms: float | None = None
    upstream_in_flight: int | None = None
    draining: bool = False
