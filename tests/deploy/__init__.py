"""Tests of how the platform builds and starts the program."""
