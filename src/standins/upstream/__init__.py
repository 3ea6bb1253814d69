"""A backend server as a stand-in: slots, queue, noise, drain, crash, silence."""

from standins.upstream.behaviour import Behaviour, ReportMode
from standins.upstream.server import Upstream

__all__ = ["Behaviour", "ReportMode", "Upstream"]
