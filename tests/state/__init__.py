"""Tests of mangohatch.state."""
