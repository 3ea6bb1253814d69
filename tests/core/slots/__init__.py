"""Tests of the decision core: slots."""
