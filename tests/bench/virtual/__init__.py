"""Tests of the virtual-time benchmark."""
