"""Components that a platform adapter provides to a fleet host."""

from collections.abc import Callable
from dataclasses import dataclass

from mangohatch.directory import DirectoryPart, DirectorySource
from mangohatch.directory.table_updater import TableUpdater
from mangohatch.entry.protocol import ProtocolAdapter
from mangohatch.upstream.load_probe import ReadProbe

__all__ = ["FleetComponents"]


@dataclass(slots=True, kw_only=True, frozen=True)
class FleetComponents:
    """
    Components and paths that a platform adapter provides to a host.

    ``apply_part`` applies a changed part of the directory; ``read_probe`` reads the
    response to a health check.
    """

    protocol: ProtocolAdapter
    source: DirectorySource
    apply_part: Callable[[DirectoryPart, TableUpdater], None]
    read_probe: ReadProbe
    readiness_path: str
    metrics_path: str
