"""Tests of mangohatch.core.limits."""
