"""Upstreams that say themselves that they are leaving."""

from mangohatch.core.leaving.probe import ReachabilityProbe
from mangohatch.core.leaving.system import LeavingSystem

__all__ = ["LeavingSystem", "ReachabilityProbe"]
