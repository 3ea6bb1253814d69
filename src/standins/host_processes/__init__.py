"""Hosts as real processes, with a store, upstreams and callers in this process."""

from standins.host_processes.callers import Answer, Callers
from standins.host_processes.host import HostProcess
from standins.host_processes.store import DoorState, FleetStore
from standins.host_processes.upstream import QueueingUpstream

__all__ = [
    "Answer",
    "Callers",
    "DoorState",
    "FleetStore",
    "HostProcess",
    "QueueingUpstream",
]
