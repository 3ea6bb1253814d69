"""Counts of runs, against which the outcomes reported to callers are checked."""

from dataclasses import dataclass, field

__all__ = ["Ledger", "Run"]


@dataclass(slots=True, kw_only=True)
class Run:
    """Runs of one request, each with the caller's attempt that caused it."""

    method: str
    attempts: list[str] = field(default_factory=list)


class Ledger:
    """Counts the runs of each request id; the counts survive a simulated crash."""

    def __init__(self) -> None:
        self.runs: dict[str, Run] = {}
        self.total = 0
        self.measuring_calls = 0
        self.measuring_bytes = 0
        self.crashes = 0

    def record(self, request_id: str, method: str, attempt: str) -> None:
        """
        Count a run when it starts.

        :param request_id: request id that the caller assigned, empty without one
        :param method: HTTP method
        :param attempt: number of the caller's attempt, empty without one
        """
        self.total += 1
        if request_id:
            run = self.runs.setdefault(request_id, Run(method=method))
            run.attempts.append(attempt)

    def as_json(self) -> dict[str, object]:
        """
        Convert the counts to JSON.

        :return: a JSON object
        """
        return {
            "total": self.total,
            "measuring_calls": self.measuring_calls,
            "measuring_bytes": self.measuring_bytes,
            "crashes": self.crashes,
            "runs": {
                name: {"method": run.method, "attempts": run.attempts}
                for name, run in self.runs.items()
            },
        }
