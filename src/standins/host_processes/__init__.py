"""Hosts as real processes, with a store, upstreams and callers in this process."""

from standins.host_processes.callers import Answer, Callers
from standins.host_processes.endless import ENDLESS_ANSWERS, EndlessUpstream
from standins.host_processes.host import HostProcess, start_hosts
from standins.host_processes.malformed import FORGED_BODY, MalformedUpstream
from standins.host_processes.store import DoorState, FleetStore
from standins.host_processes.upstream import QueueingUpstream

__all__ = [
    "Answer",
    "Callers",
    "DoorState",
    "ENDLESS_ANSWERS",
    "EndlessUpstream",
    "FORGED_BODY",
    "FleetStore",
    "HostProcess",
    "MalformedUpstream",
    "QueueingUpstream",
    "start_hosts",
]
