"""Measurements of decisions and of the live path."""
