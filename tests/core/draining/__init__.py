"""Tests of mangohatch.core.draining."""
