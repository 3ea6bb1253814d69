"""Tests of mangohatch.claims."""
