"""Benchmarks of routing decisions, live traffic, control state and capacity."""
