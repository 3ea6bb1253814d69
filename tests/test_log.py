"""Tests of log lines."""

import os

from mangohatch.log import LineWriter
from tests.functions import function_tests

load_tests = function_tests(__name__)

PIPE_BYTES = 4_000_000  # more than any pipe holds


def test_full_pipe_drops_lines_and_says_how_many():
    reader, writer = os.pipe()
    try:
        lines = LineWriter(writer)
        while not lines.dropped:
            lines.msg("x" * 1000)
        lines.msg("y" * 1000)
        assert lines.dropped == 2
        os.read(reader, PIPE_BYTES)
        lines.msg("event='next'")
        assert os.read(reader, PIPE_BYTES) == b"event='next' lines_dropped=2\n"
        assert lines.dropped == 0
    finally:
        os.close(reader)
        os.close(writer)
