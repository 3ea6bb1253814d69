"""Tests of mangohatch.config."""
