"""Benchmark of operator orders with real entry host processes."""
