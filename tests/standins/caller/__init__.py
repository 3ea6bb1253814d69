"""Tests of the stand-in callers."""
