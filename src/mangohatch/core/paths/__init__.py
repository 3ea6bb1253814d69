"""Paths to upstreams: direct ones, their loss, and detours through peers."""

from mangohatch.core.paths.relays import RelayChooser, RelayRefusal
from mangohatch.core.paths.table import PathTable

__all__ = ["PathTable", "RelayChooser", "RelayRefusal"]
