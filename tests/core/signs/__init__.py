"""Tests of mangohatch.core.signs."""
