"""Tests of connections through peers."""
