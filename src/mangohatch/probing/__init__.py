"""Measuring of upstreams: each by one host, told to all."""

from mangohatch.probing.placements import PlacementNews
from mangohatch.probing.probe import LoadProbe, ProbeResult
from mangohatch.probing.reports import LoadReports
from mangohatch.probing.system import ProbeSettings, ProbingSystem

__all__ = [
    "LoadProbe",
    "LoadReports",
    "PlacementNews",
    "ProbeResult",
    "ProbeSettings",
    "ProbingSystem",
]
