"""Upstreams that say themselves that they are leaving."""

from mangohatch.core.draining.probe import ReachabilityProbe
from mangohatch.core.draining.system import DrainSystem

__all__ = ["DrainSystem", "ReachabilityProbe"]
