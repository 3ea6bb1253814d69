"""Logs changes in the health of upstreams as this host sees them."""

import structlog

from mangohatch.core.health import HealthListener
from mangohatch.core.health.table import HealthRow
from mangohatch.core.tables import UpstreamRow

__all__ = ["HealthLog"]

log = structlog.get_logger()


class HealthLog(HealthListener):
    """
    Logs ejections, returns and replacements of upstreams.

    The backoff between ejections bounds the rate of ejection and return lines.
    """

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
        # The sign system logs this with origin and age.
        return None

    def on_replaced(self, upstream: UpstreamRow) -> None:
        log.info(
            "upstream_replaced",
            service=upstream.service,
            upstream=upstream.name,
            address=upstream.address,
        )
