"""Decides which requests get a second attempt beside the first one."""

from mangohatch.core.hedging.base import HedgePolicy, NoHedges
from mangohatch.core.hedging.reported import HedgeSettings, ReportedSlowness
from mangohatch.core.hedging.share import HedgeShare
from mangohatch.core.hedging.system import HedgeRefusal, HedgeSystem

__all__ = [
    "HedgePolicy",
    "HedgeRefusal",
    "HedgeSettings",
    "HedgeShare",
    "HedgeSystem",
    "NoHedges",
    "ReportedSlowness",
]
