"""Tests of the tooling."""
