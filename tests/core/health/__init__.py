"""Tests of mangohatch.core.health."""
