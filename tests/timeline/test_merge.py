"""Tests of the causal order of events of hosts whose clocks differ."""

import random

from hypothesis import given, settings, strategies

from mangohatch.clock import ManualClock
from mangohatch.timeline import EventKind, HybridClock, Recorder, merge_events
from tests.functions import function_tests

load_tests = function_tests(__name__)

HOSTS = 3
EXAMPLES = 50


def make_recorder(name, *, wall_offset_ms):
    clock = ManualClock(wall_offset_ms=wall_offset_ms)
    hybrid = HybridClock(clock=clock)
    return clock, Recorder(host=name, zone="puno", clock=hybrid)


def test_effect_follows_cause_when_the_receiver_clock_is_behind():
    _, ahead = make_recorder("a", wall_offset_ms=5_000.0)
    _, behind = make_recorder("b", wall_offset_ms=1_000.0)
    ahead.record(EventKind.UPSTREAM_EJECTED, cause="five errors in a row")
    behind.clock.merge(*ahead.clock.tick())
    behind.record(EventKind.REQUEST_RETRIED)
    merged = merge_events([behind.events(), ahead.events()], limit=10)
    assert [event.host for event in merged] == ["a", "b"]


@settings(derandomize=True, max_examples=EXAMPLES, database=None)
@given(strategies.integers(0, 2**32))
def check_order(number):
    rng = random.Random(number)
    parts = [
        make_recorder(str(index), wall_offset_ms=rng.uniform(0, 10_000))
        for index in range(HOSTS)
    ]
    past = [set() for _ in parts]
    causes = {}
    in_flight = []
    for step in range(60):
        host = rng.randrange(HOSTS)
        clock, recorder = parts[host]
        clock.advance(rng.choice([0.0, 0.0, 1.0, 50.0]))
        action = rng.choice(["record", "send", "receive"])
        if action == "record":
            recorder.record(EventKind.REQUEST_SLOW, request_id=str(step))
            causes[str(step)] = set(past[host])
            past[host].add(str(step))
        elif action == "send":
            in_flight.append((recorder.clock.tick(), set(past[host])))
        elif in_flight:
            reading, known = in_flight.pop(rng.randrange(len(in_flight)))
            recorder.clock.merge(*reading)
            past[host] |= known
    merged = merge_events([recorder.events() for _, recorder in parts], limit=1_000)
    position = {event.request_id: index for index, event in enumerate(merged)}
    assert len(position) == len(causes)
    for effect, known in causes.items():
        assert all(position[cause] < position[effect] for cause in known)


def test_merged_order_respects_every_message():
    check_order()


def test_order_by_wall_clock_alone_is_caught():
    original = HybridClock.merge
    HybridClock.merge = lambda self, time_ms, count: None
    try:
        check_order()
    except AssertionError:
        return
    finally:
        HybridClock.merge = original
    raise AssertionError("a clock that ignores messages passed the check")


def test_limit_keeps_the_latest_events():
    clock, recorder = make_recorder("a", wall_offset_ms=0.0)
    for number in range(5):
        clock.advance(1.0)
        recorder.record(EventKind.REQUEST_SLOW, request_id=str(number))
    merged = merge_events([recorder.events()], limit=2)
    assert [event.request_id for event in merged] == ["3", "4"]


def test_buffer_is_bounded():
    hybrid = HybridClock(clock=ManualClock())
    recorder = Recorder(host="a", zone="puno", clock=hybrid, capacity=3)
    for number in range(10):
        recorder.record(EventKind.REQUEST_SLOW, request_id=str(number))
    assert [event.request_id for event in recorder.events()] == ["7", "8", "9"]
