"""Tests of mangohatch.upstream."""
