"""Counters and budgets for load probes and coordination messages."""

from mangohatch.core.measuring.budget import BudgetGate, BudgetGates
from mangohatch.core.measuring.counter import MeasuringCounter

__all__ = ["BudgetGate", "BudgetGates", "MeasuringCounter"]
