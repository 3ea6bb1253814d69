"""Counts of runs, by which checks of outcomes are made."""

from dataclasses import dataclass, field

__all__ = ["Ledger", "Run"]


@dataclass(slots=True, kw_only=True)
class Run:
    """Executions of one request, and which of the caller's attempts caused them."""

    method: str
    attempts: list[str] = field(default_factory=list)


class Ledger:
    """Counts each run of each request id; survives a crash of the upstream."""

    def __init__(self) -> None:
        self.runs: dict[str, Run] = {}
        self.total = 0
        self.measuring_calls = 0
        self.measuring_bytes = 0
        self.crashes = 0

    def record(self, request_id: str, method: str, attempt: str) -> None:
        """
        Count a run at its start.

        :param request_id: the caller's id of the request
        :param method: HTTP method
        :param attempt: the caller's attempt, as it numbers them
        """
        self.total += 1
        if request_id:
            run = self.runs.setdefault(request_id, Run(method=method))
            run.attempts.append(attempt)

    def as_json(self) -> dict[str, object]:
        """
        Render the counts.

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
