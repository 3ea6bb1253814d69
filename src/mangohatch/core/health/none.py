"""Health that accepts every upstream."""

from mangohatch.core.call import Call, Report
from mangohatch.core.health.base import Health
from mangohatch.core.tables import UpstreamRow

__all__ = ["NoHealth"]


class NoHealth(Health):
    """Every upstream is eligible with all of its slots."""

    def observe(self, row: UpstreamRow, report: Report, holder_id: str) -> None:
        return None

    def eligible(self, row: UpstreamRow, call: Call | None) -> bool:
        return True

    def capacity(self, row: UpstreamRow) -> float:
        return 1.0

    def tick(self) -> None:
        return None
