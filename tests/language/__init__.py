"""Tests of mangohatch.language."""
