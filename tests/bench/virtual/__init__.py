"""Tests of the bench in virtual time."""
