"""Counting and bounding of what is sent to measure and to coordinate."""

from mangohatch.core.measuring.budget import BudgetGate, BudgetGates
from mangohatch.core.measuring.counter import MeasuringCounter

__all__ = ["BudgetGate", "BudgetGates", "MeasuringCounter"]
