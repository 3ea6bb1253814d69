"""Tests of mangohatch.platform."""
