"""Tests of the answers to operators."""
