"""Tests of clock offset bounds."""

from mangohatch.timeline import OffsetTable
from tests.functions import function_tests

load_tests = function_tests(__name__)

TRUE_OFFSET_MS = 40.0


def observe_round_trip(table, *, sent_ms, outbound_ms, return_ms):
    remote_ms = sent_ms + outbound_ms + TRUE_OFFSET_MS
    received_ms = sent_ms + outbound_ms + return_ms
    table.observe("b", sent_ms=sent_ms, remote_ms=remote_ms, received_ms=received_ms)


def test_bounds_hold_the_true_offset_and_narrow(clock):
    table = OffsetTable(clock=clock)
    observe_round_trip(table, sent_ms=0.0, outbound_ms=9.0, return_ms=1.0)
    wide = table.bounds("b")
    observe_round_trip(table, sent_ms=100.0, outbound_ms=1.0, return_ms=9.0)
    low_ms, high_ms = table.bounds("b")
    assert wide[0] <= TRUE_OFFSET_MS <= wide[1]
    assert low_ms <= TRUE_OFFSET_MS <= high_ms
    assert high_ms - low_ms < wide[1] - wide[0]


def test_bounds_widen_with_age(clock):
    table = OffsetTable(clock=clock)
    observe_round_trip(table, sent_ms=0.0, outbound_ms=1.0, return_ms=1.0)
    fresh = table.bounds("b")
    clock.advance(1_000_000.0)
    aged = table.bounds("b")
    assert aged[0] < fresh[0] and aged[1] > fresh[1]


def test_stepped_clock_replaces_the_bounds(clock):
    table = OffsetTable(clock=clock)
    observe_round_trip(table, sent_ms=0.0, outbound_ms=1.0, return_ms=1.0)
    table.observe("b", sent_ms=10.0, remote_ms=10_011.0, received_ms=12.0)
    low_ms, high_ms = table.bounds("b")
    assert low_ms <= 10_000.0 <= high_ms
