"""Tests of mangohatch.store."""
