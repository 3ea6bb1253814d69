"""Tests of the build and start commands that the platform runs."""
