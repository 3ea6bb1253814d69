"""Costs per unit of load or state, measured over a range of sizes."""
