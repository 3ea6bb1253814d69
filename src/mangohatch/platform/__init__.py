"""Adapter for the users' platform: its settings, store, headers and documents."""
