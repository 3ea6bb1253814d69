"""Tests of mangohatch.entry."""
