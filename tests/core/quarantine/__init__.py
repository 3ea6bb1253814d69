"""Tests of mangohatch.core.quarantine."""
