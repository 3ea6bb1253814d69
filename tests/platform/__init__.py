"""Tests of :mod:`mangohatch.platform`."""
