"""What a caller saw of one request."""

from dataclasses import dataclass, field
from enum import StrEnum

from standins.caller.plan import PlannedRequest

__all__ = ["Attempt", "AttemptResult", "Record"]


class AttemptResult(StrEnum):
    """How one attempt of a caller ended."""

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
    """One attempt: where it went and what came back; status 0 without a reply."""

    number: int
    entry_port: int
    result: AttemptResult
    status: int = 0
    code: str = ""


@dataclass(slots=True, kw_only=True)
class Record:
    """A request with all attempts of its caller; ``lag_ms`` is the caller's own."""

    request: PlannedRequest
    latency_ms: float = 0.0
    lag_ms: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def result(self) -> AttemptResult:
        """How the last attempt ended."""
        return self.attempts[-1].result
