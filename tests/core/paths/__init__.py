"""Tests of the paths to upstreams."""
