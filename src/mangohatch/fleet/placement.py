"""Placement policies that a fleet host can be started with."""

from enum import StrEnum

__all__ = ["Placement"]


class Placement(StrEnum):
    """
    Placement policy, chooses the upstream of a request.

    ``power-of-two`` is the baseline that every other policy has to beat: it uses only
    what the host itself has observed and sends no load probes.
    """

    EXPECTED_TIME = "expected-time"
    POWER_OF_TWO = "power-of-two"
