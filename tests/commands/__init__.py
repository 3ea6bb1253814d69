"""Tests of mangohatch.commands."""
