"""Tests of the decision core: choice."""
