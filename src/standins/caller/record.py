"""Records of requests and their attempts, as seen by the caller."""

from dataclasses import dataclass, field
from enum import StrEnum

from standins.caller.plan import PlannedRequest

__all__ = ["Attempt", "AttemptResult", "Record"]


class AttemptResult(StrEnum):
    """
    Result of one attempt, as seen by the caller.

    ``BROKEN``: the connection closed before the reply was complete. ``SILENT``: no
    reply within the deadline and its grace period. ``MIXED``: the body has wrong
    content, such as another request's answer. ``TRUNCATED``: a download has only its
    beginning.
    """

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    IN_PROGRESS = "in_progress"
    BROKEN = "broken"
    SILENT = "silent"
    MIXED = "mixed"
    TRUNCATED = "truncated"


@dataclass(slots=True, kw_only=True, frozen=True)
class Attempt:
    """One attempt: the port it was sent to and its result; status 0 without a reply."""

    number: int
    entry_port: int
    result: AttemptResult
    status: int = 0
    code: str = ""


@dataclass(slots=True, kw_only=True)
class Record:
    """
    A request with all its attempts.

    ``lag_ms`` is how late the caller itself sent the first attempt. It is part of
    ``latency_ms`` and shows whether the load generator kept up with the plan.
    """

    request: PlannedRequest
    latency_ms: float = 0.0
    lag_ms: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def result(self) -> AttemptResult:
        """Result of the last attempt."""
        return self.attempts[-1].result
