"""Ways of placing requests that a fleet host can be started with."""

from enum import StrEnum

__all__ = ["Placement"]


class Placement(StrEnum):
    """
    How upstreams are chosen.

    ``power-of-two`` is the baseline that every other way has to beat: it knows only
    what the host itself has seen, and measures nothing.
    """

    EXPECTED_TIME = "expected-time"
    POWER_OF_TWO = "power-of-two"
