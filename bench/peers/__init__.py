"""Benchmark of membership and peer connections, with one process per host."""
