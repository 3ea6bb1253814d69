"""Tests of mangohatch.metrics."""
