"""Counting and bounding of what is sent to measure and to coordinate."""

from mangohatch.core.measuring.budget import BudgetGate
from mangohatch.core.measuring.counter import MeasuringCounter

__all__ = ["BudgetGate", "MeasuringCounter"]
