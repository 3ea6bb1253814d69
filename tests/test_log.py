"""Tests of mangohatch.log."""

import os

from mangohatch.log import LineWriter
from tests.functions import function_tests

load_tests = function_tests(__name__)

PIPE_BYTES = 4_000_000  # above the capacity of any pipe


def test_full_pipe_drops_lines_and_reports_their_number():
    reader, writer = os.pipe()
    try:
        line_writer = LineWriter(writer)
        while not line_writer.dropped:
            line_writer.msg("x" * 1000)
        line_writer.msg("y" * 1000)
        assert line_writer.dropped == 2
        os.read(reader, PIPE_BYTES)
        line_writer.msg("event='next'")
        assert os.read(reader, PIPE_BYTES) == b"event='next' lines_dropped=2\n"
        assert line_writer.dropped == 0
    finally:
        os.close(reader)
        os.close(writer)
