"""Tests of :mod:`mangohatch.core.measuring`."""
