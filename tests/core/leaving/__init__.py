"""Tests of mangohatch.core.leaving."""
