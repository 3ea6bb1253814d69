"""Tests of :mod:`mangohatch.directory`."""
