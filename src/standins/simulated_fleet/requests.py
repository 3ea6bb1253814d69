"""A request to a simulated fleet, with what became of it."""

from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = ["CALLER", "SimulatedRequest"]

CALLER = "100.64.0.1"


@dataclass(slots=True, kw_only=True, eq=False)
class SimulatedRequest:
    """
    One attempt of a caller.

    ``account`` is the client account whose key it bears, empty for none.
    ``crashes`` is set for a request that crashes the upstreams that run it. With
    ``reset_after_ms``, the connection of the first attempt is reset after that time.
    ``broken_ms`` is when its connection broke last, and ``held_ms`` the longest time
    from there to the next attempt. ``sent_ms`` holds the times at which it was sent to
    upstreams, and ``reached`` the names of these. ``error`` is empty after a response,
    and otherwise the code of the error or the last result. The caller allows
    ``deadline_ms`` and wants a response within ``objective_ms``; hosts use their
    default where that is None. A rejection tells it to return after
    ``retry_after_ms``.
    """

    request_id: str
    target: str
    work_ms: float
    method: str = "GET"
    caller: str = CALLER
    account: str = ""
    deadline_ms: float = 3_000.0
    body: bytes = b""
    route: str = ""
    idempotent: bool = True
    objective_ms: float | None = None
    retry_after_ms: float | None = None
    crashes: bool = False
    reset_after_ms: float | None = None
    arrived_ms: float = 0.0
    host_started_ms: float = 0.0
    broken_ms: float | None = None
    held_ms: float = 0.0
    sent_ms: list[float] = field(default_factory=list)
    reached: list[str] = field(default_factory=list)
    error: str | None = None
    ended_ms: float | None = None
    on_end: Callable[["SimulatedRequest"], None] | None = None

    def end(self, error: str, now_ms: float) -> None:
        """
        Record the end of the request.

        :param error: code of the error, empty after a response
        :param now_ms: monotonic time in milliseconds
        """
        self.error = error
        self.ended_ms = now_ms
        if self.on_end is not None:
            self.on_end(self)
