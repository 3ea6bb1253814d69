"""Load probes of upstreams: each is probed by one host, which reports to all."""

from mangohatch.probing.crash_check import ProbeCrashCheck
from mangohatch.probing.placements import PlacementUpdates
from mangohatch.probing.probe import LoadProbe, ProbeResult
from mangohatch.probing.reports import LoadReports
from mangohatch.probing.system import ProbeSettings, ProbingSystem

__all__ = [
    "LoadProbe",
    "LoadReports",
    "PlacementUpdates",
    "ProbeCrashCheck",
    "ProbeResult",
    "ProbeSettings",
    "ProbingSystem",
]
