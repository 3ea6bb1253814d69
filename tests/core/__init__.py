"""Tests of mangohatch.core."""
