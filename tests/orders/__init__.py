"""Tests of operators' orders."""
