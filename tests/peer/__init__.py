"""Tests of the communication between entry hosts."""
