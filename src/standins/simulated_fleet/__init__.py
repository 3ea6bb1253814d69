"""Whole fleets of hosts in virtual time, without sockets and processes."""

from standins.simulated_fleet.cold_traffic import ColdPlan, ColdTraffic, ColdVerdict
from standins.simulated_fleet.crash_traffic import (
    COPY_VARIANTS,
    CrashPlan,
    CrashTraffic,
    CrashVerdict,
)
from standins.simulated_fleet.evacuation_traffic import (
    EvacuationPlan,
    EvacuationTraffic,
    EvacuationVerdict,
)
from standins.simulated_fleet.fleet import FleetPlan, SimulatedFleet
from standins.simulated_fleet.host import SimulatedHost
from standins.simulated_fleet.limit_traffic import (
    LimitPlan,
    LimitTraffic,
    LimitVerdict,
)
from standins.simulated_fleet.network import HostLimits, PeerNetwork
from standins.simulated_fleet.quota_traffic import (
    QuotaPlan,
    QuotaTraffic,
    QuotaVerdict,
)
from standins.simulated_fleet.sign_traffic import SignPlan, SignTraffic, SignVerdict
from standins.simulated_fleet.usage import Usage

__all__ = [
    "ColdPlan",
    "ColdTraffic",
    "ColdVerdict",
    "COPY_VARIANTS",
    "CrashPlan",
    "CrashTraffic",
    "CrashVerdict",
    "EvacuationPlan",
    "EvacuationTraffic",
    "EvacuationVerdict",
    "FleetPlan",
    "HostLimits",
    "LimitPlan",
    "LimitTraffic",
    "LimitVerdict",
    "PeerNetwork",
    "QuotaPlan",
    "QuotaTraffic",
    "QuotaVerdict",
    "SignPlan",
    "SignTraffic",
    "SignVerdict",
    "SimulatedFleet",
    "SimulatedHost",
    "Usage",
]
