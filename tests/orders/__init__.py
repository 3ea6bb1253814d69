"""Tests of operator orders."""
