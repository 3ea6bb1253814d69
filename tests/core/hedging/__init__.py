"""Tests of mangohatch.core.hedging."""
