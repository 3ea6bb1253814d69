"""Tests of mangohatch.host."""
