"""Soak of host processes: seeded changes and troubles, and what callers see."""
