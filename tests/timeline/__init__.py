"""Tests of mangohatch.timeline."""
