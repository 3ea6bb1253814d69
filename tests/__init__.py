"""Tests, arranged like the source tree."""
