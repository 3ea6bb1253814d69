"""Tests of the live bench."""
