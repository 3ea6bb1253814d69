"""Tests of the live benchmark."""
