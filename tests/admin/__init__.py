"""Tests of mangohatch.admin."""
