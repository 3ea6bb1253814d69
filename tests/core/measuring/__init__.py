"""Tests of the decision core: measuring."""
