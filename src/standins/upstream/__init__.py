"""Stand-in backend server with slots, queue, noise, drain, crashes and silence."""

from standins.upstream.behaviour import Behaviour, ReportMode
from standins.upstream.server import Upstream

__all__ = ["Behaviour", "ReportMode", "Upstream"]
