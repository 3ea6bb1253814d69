"""Tests of mangohatch.core.slots."""
