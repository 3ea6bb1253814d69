"""Tests of the age of readings with the time that their marks were on the way."""

from mangohatch.directory.reading_age import WINDOW_MS, ReadingAges
from mangohatch.peer.messages.directory import DirectoryMark
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

FAST_MS = 20.0
CLOCK_DIFFERENCE_MS = 700_000.0


@fixture
def ages(clock):
    clock.advance(1_000_000.0)
    return ReadingAges(clock=clock)


def receive(ages, clock, *, age_ms, way_ms, origin=7):
    """Receive a mark that was sent with an age and was on the way for a time."""
    began_ms = clock.now_ms() - age_ms - way_ms
    mark = DirectoryMark(
        age_ms=int(age_ms),
        origin=origin,
        origin_ms=int(began_ms + CLOCK_DIFFERENCE_MS) if origin else 0,
    )
    return ages.estimate_ms(mark)


def test_time_on_the_way_counts_once_a_mark_came_fast(ages, clock):
    assert receive(ages, clock, age_ms=100.0, way_ms=FAST_MS) == 100.0
    clock.advance(500.0)
    assert receive(ages, clock, age_ms=0.0, way_ms=2_000.0) == 2_000.0 - FAST_MS


def test_reading_of_an_unknown_process_has_the_age_of_its_mark(ages, clock):
    receive(ages, clock, age_ms=0.0, way_ms=FAST_MS)
    for origin in (0, 8):
        age_ms = receive(ages, clock, age_ms=50.0, way_ms=900.0, origin=origin)
        assert age_ms == 50.0


def test_fast_mark_is_remembered_for_a_window(ages, clock):
    receive(ages, clock, age_ms=0.0, way_ms=FAST_MS)
    for _ in range(int(WINDOW_MS / 500.0)):
        clock.advance(500.0)
        age_ms = receive(ages, clock, age_ms=0.0, way_ms=2_000.0)
        assert age_ms == 2_000.0 - FAST_MS


def test_process_whose_clock_stood_still_is_believed_again(ages, clock):
    receive(ages, clock, age_ms=0.0, way_ms=FAST_MS)
    # A suspended host looks as if all of its marks were on the way for as long.
    for _ in range(int(3 * WINDOW_MS / 500.0)):
        clock.advance(500.0)
        age_ms = receive(ages, clock, age_ms=0.0, way_ms=4_000.0)
    assert age_ms == 0.0
