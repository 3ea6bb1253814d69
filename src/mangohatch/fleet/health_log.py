"""Log lines of what a host comes to believe of its upstreams."""

import structlog

from mangohatch.core.health import HealthListener
from mangohatch.core.health.table import HealthRow
from mangohatch.core.tables import UpstreamRow

__all__ = ["HealthLog"]

log = structlog.get_logger()


class HealthLog(HealthListener):
    """Writes ejections and returns; both are bounded by their back-off."""

    def ejected(self, row: HealthRow, *, duration_ms: float, cause: str) -> None:
        log.info(
            "upstream_ejected",
            service=row.service,
            upstream=row.name,
            duration_ms=round(duration_ms),
            cause=cause,
        )

    def returned(self, row: HealthRow) -> None:
        log.info("upstream_returned", service=row.service, upstream=row.name)

    def leaving(self, upstream: UpstreamRow) -> None:
        log.info(
            "upstream_replaced",
            service=upstream.service,
            upstream=upstream.name,
            address=upstream.address,
        )
