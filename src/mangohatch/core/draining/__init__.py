"""Upstreams that report that they are draining."""

from mangohatch.core.draining.probe import ReachabilityProbe
from mangohatch.core.draining.system import DrainSystem

__all__ = ["DrainSystem", "ReachabilityProbe"]
