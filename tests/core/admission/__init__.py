"""Tests of the decision core: admission."""
