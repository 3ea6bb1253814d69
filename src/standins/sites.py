"""The two sites that the project is designed for, at their current sizes."""

from dataclasses import dataclass

__all__ = ["HIMAL", "HIMNARIO", "SITES", "ServiceSize", "Site"]

DOWNLOAD_QUEUE_WAIT_MS = 4_000.0  # about the duration of a download


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceSize:
    """
    Size of one service of a site.

    ``slots`` and ``connections`` are limits for each upstream.
    """

    name: str
    upstreams: int
    slots: int
    connections: int
    max_queue_wait_ms: float = 15.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Site:
    """A site with its zones, its booking service and its download service."""

    name: str
    region: str
    zones: tuple[str, ...]
    desk: ServiceSize
    archive: ServiceSize

    @property
    def services(self) -> tuple[ServiceSize, ServiceSize]:
        """Booking service and download service, in this order."""
        return self.desk, self.archive


HIMAL = Site(
    name="himal",
    region="bagmati",
    zones=("bagmati-a", "bagmati-b", "bagmati-c"),
    desk=ServiceSize(name="booking-desk", upstreams=20, slots=2, connections=200),
    archive=ServiceSize(
        name="media-vault",
        upstreams=5,
        slots=2,
        connections=200,
        max_queue_wait_ms=DOWNLOAD_QUEUE_WAIT_MS,
    ),
)
HIMNARIO = Site(
    name="himnario",
    region="sur-andino",
    zones=("arequipa", "puno", "cusco"),
    desk=ServiceSize(name="tablero-misa", upstreams=30, slots=2, connections=250),
    archive=ServiceSize(
        name="archivo-himnos",
        upstreams=5,
        slots=2,
        connections=250,
        max_queue_wait_ms=DOWNLOAD_QUEUE_WAIT_MS,
    ),
)
SITES = (HIMAL, HIMNARIO)
