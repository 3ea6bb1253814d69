"""Benchmark of costs per unit of load or state, measured over a range of sizes."""
