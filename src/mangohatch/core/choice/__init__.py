"""Choice of the upstream for a call: one kind a module."""

from mangohatch.core.choice.base import Available, Chooser
from mangohatch.core.choice.idle_hints import IdleHintsChooser
from mangohatch.core.choice.least_in_flight import LeastInFlightChooser
from mangohatch.core.choice.partition import PartitionChooser
from mangohatch.core.choice.power_of_two import PowerOfTwoChooser
from mangohatch.core.choice.probing import ProbeReply, ProbeTransport, ProbingChooser
from mangohatch.core.choice.round_robin import RoundRobinChooser
from mangohatch.core.choice.tokens import TokenChooser
from mangohatch.core.choice.uniform import UniformChooser

__all__ = [
    "Available",
    "Chooser",
    "IdleHintsChooser",
    "LeastInFlightChooser",
    "PartitionChooser",
    "PowerOfTwoChooser",
    "ProbeReply",
    "ProbeTransport",
    "ProbingChooser",
    "RoundRobinChooser",
    "TokenChooser",
    "UniformChooser",
]
