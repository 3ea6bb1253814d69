"""Tests of :mod:`mangohatch.fleet`."""
