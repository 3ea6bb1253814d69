"""Decisions in virtual time: the real core against a seeded fake of upstreams."""
