"""Log lines of what a host comes to believe of its upstreams."""

import structlog

from mangohatch.core.health import HealthListener
from mangohatch.core.health.table import HealthRow
from mangohatch.core.tables import UpstreamRow

__all__ = ["HealthLog"]

log = structlog.get_logger()


class HealthLog(HealthListener):
    """Writes ejections and returns; both are bounded by their back-off."""

    def on_ejected(self, row: HealthRow, *, duration_ms: float, cause: str) -> None:
        log.info(
            "upstream_ejected",
            service=row.service,
            upstream=row.name,
            duration_ms=round(duration_ms),
            cause=cause,
        )

    def on_returned(self, row: HealthRow) -> None:
        log.info("upstream_returned", service=row.service, upstream=row.name)

    def on_draining(self, upstream: UpstreamRow) -> None:
        log.info(
            "upstream_replaced",
            service=upstream.service,
            upstream=upstream.name,
            address=upstream.address,
        )
