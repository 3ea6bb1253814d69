"""Direct paths to upstreams, and what is known of their loss."""

from mangohatch.core.paths.table import PathTable

__all__ = ["PathTable"]
