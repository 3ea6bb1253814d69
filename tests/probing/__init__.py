"""Tests of :mod:`mangohatch.probing`."""
