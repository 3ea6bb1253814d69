"""Benchmark of routing decisions in virtual time, with seeded fake upstreams."""
